package dev.zinniaring.node;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import dev.zinniaring.kernel.NamedThreads;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.publish.PlatformVersionSource;
import dev.zinniaring.publish.VersionSource;
import dev.zinniaring.store.HttpObjectStore;
import dev.zinniaring.store.HttpTableService;
import dev.zinniaring.store.ObjectStore;
import dev.zinniaring.store.PlatformHttp;
import dev.zinniaring.store.TableService;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Provides the clients of the platform and the threads on which they block. */
@Module
final class PlatformModule {
    private static final int THREADS = 2;
    private static final int MAX_WAITING = 64;

    private PlatformModule() {}

    @Provides
    @Singleton
    static PlatformHttp http(NodeDependencies dependencies) {
        return PlatformHttp.builder()
                .timeout(Duration.ofMillis(dependencies.settings().platform().timeoutMillis()))
                .random(new Random(dependencies.random().nextLong()))
                .build();
    }

    @Provides
    @Singleton
    static VersionSource source(NodeDependencies dependencies, PlatformHttp http) {
        NodeSettings.Platform platform = dependencies.settings().platform();
        TableService tables = dependencies.tables();
        ObjectStore objects = dependencies.objects();
        return new PlatformVersionSource(
                dependencies.settings().mesh(),
                tables == null ? new HttpTableService(http, platform.tableUrl()) : tables,
                objects == null ? new HttpObjectStore(http, platform.objectUrl()) : objects,
                new Random(dependencies.random().nextLong()));
    }

    /** The queue is bounded, because timers keep adding reads while the platform hangs. */
    @Provides
    @Singleton
    static ExecutorService executor(NodeDependencies dependencies) {
        ThreadPoolExecutor executor =
                new ThreadPoolExecutor(
                        THREADS,
                        THREADS,
                        10,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(MAX_WAITING),
                        NamedThreads.daemon("platform-" + dependencies.settings().nodeId()),
                        new ThreadPoolExecutor.DiscardPolicy());
        executor.allowCoreThreadTimeOut(true);
        return executor;
    }

    @Provides
    @IntoSet
    static Plugin plugin(PlatformHttp http, ExecutorService executor) {
        return CallbackPlugin.named("platform", 10)
                .onStop(
                        () -> {
                            executor.shutdownNow();
                            http.close();
                        })
                .build();
    }
}
