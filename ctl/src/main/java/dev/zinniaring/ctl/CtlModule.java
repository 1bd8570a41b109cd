package dev.zinniaring.ctl;

import dagger.Module;
import dagger.Provides;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.publish.Publisher;
import dev.zinniaring.store.HttpObjectStore;
import dev.zinniaring.store.HttpTableService;
import dev.zinniaring.store.ObjectStore;
import dev.zinniaring.store.Pause;
import dev.zinniaring.store.PlatformHttp;
import dev.zinniaring.store.TableService;
import jakarta.inject.Singleton;
import java.time.Duration;

/** Creates the dependencies of the commands from the settings. */
@Module
final class CtlModule {
    private CtlModule() {}

    @Provides
    @Singleton
    static PlatformHttp http(CtlSettings settings, Clock clock, Pause pause) {
        return PlatformHttp.builder()
                .timeout(Duration.ofMillis(settings.timeoutMillis()))
                .timing(clock, pause)
                .build();
    }

    @Provides
    static TableService tables(PlatformHttp http, CtlSettings settings) {
        return new HttpTableService(http, settings.tableUrl());
    }

    @Provides
    static ObjectStore objects(PlatformHttp http, CtlSettings settings) {
        return new HttpObjectStore(http, settings.objectUrl());
    }

    @Provides
    @Singleton
    static Publisher publisher(
            CtlSettings settings,
            Console console,
            TableService tables,
            ObjectStore objects,
            NodeAdmin nodes,
            Clock clock) {
        return Publisher.builder(settings.mesh(), tables, objects)
                .author(settings.author())
                .clock(clock)
                .highestHeld(nodes::highestVersion)
                .beforeCommit(token -> console.progress("publishing with token " + token))
                .build();
    }

    @Provides
    @Singleton
    static NodeAdmin nodes(CtlSettings settings) {
        return new NodeAdmin(settings.nodes(), Duration.ofMillis(settings.timeoutMillis()));
    }

    @Provides
    static RolloutWait rolloutWait(NodeAdmin nodes, Clock clock, Pause pause) {
        return new RolloutWait(nodes, clock, pause);
    }
}
