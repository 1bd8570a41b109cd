package dev.zinniaring.ctl;

import dagger.Module;
import dagger.Provides;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.platform.HttpObjectStore;
import dev.zinniaring.platform.HttpTableService;
import dev.zinniaring.platform.ObjectStore;
import dev.zinniaring.platform.Pause;
import dev.zinniaring.platform.PlatformHttp;
import dev.zinniaring.platform.TableService;
import dev.zinniaring.publish.Publisher;
import jakarta.inject.Singleton;
import java.time.Duration;

/** Makes the parts from the settings. */
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
            Clock clock) {
        return Publisher.builder(settings.mesh(), tables, objects)
                .author(settings.author())
                .clock(clock)
                .beforeCommit(token -> console.progress("publishing with token " + token))
                .build();
    }

    @Provides
    @Singleton
    static NodeAdmin nodes(CtlSettings settings) {
        return new NodeAdmin(settings.nodes(), Duration.ofMillis(settings.timeoutMillis()));
    }

    @Provides
    static FollowWait followWait(NodeAdmin nodes, Clock clock, Pause pause) {
        return new FollowWait(nodes, clock, pause);
    }
}
