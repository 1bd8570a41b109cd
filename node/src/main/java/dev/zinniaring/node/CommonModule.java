package dev.zinniaring.node;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import dev.zinniaring.kernel.ExecutorScheduler;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.kernel.Scheduler;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import jakarta.inject.Singleton;

/** Provides the metrics registry and the timers, which several components share. */
@Module
final class CommonModule {
    private static final int TIMER_THREADS = 2;

    private CommonModule() {}

    @Provides
    @Singleton
    static PrometheusRegistry registry() {
        PrometheusRegistry registry = new PrometheusRegistry();
        JvmMetrics.builder().register(registry);
        return registry;
    }

    @Provides
    @Singleton
    static ExecutorScheduler executorScheduler(NodeDependencies dependencies) {
        return new ExecutorScheduler("node-" + dependencies.settings().nodeId(), TIMER_THREADS);
    }

    @Provides
    static Scheduler scheduler(ExecutorScheduler scheduler) {
        return scheduler;
    }

    /** Closes the timers after every other plug-in has stopped. */
    @Provides
    @IntoSet
    static Plugin plugin(ExecutorScheduler scheduler) {
        return CallbackPlugin.named("timers", 0).onStop(scheduler::close).build();
    }
}
