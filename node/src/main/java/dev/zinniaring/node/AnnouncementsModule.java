package dev.zinniaring.node;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.kernel.Scheduler;
import jakarta.inject.Singleton;

/** Provides the API for announcements of local backend servers. */
@Module
final class AnnouncementsModule {
    private AnnouncementsModule() {}

    @Provides
    @Singleton
    static AnnouncementsPlugin announcements(
            NodeDependencies dependencies, LocalServers servers, Scheduler scheduler) {
        return new AnnouncementsPlugin(
                dependencies.settings().announceAddress(), servers, scheduler);
    }

    @Provides
    @IntoSet
    static Plugin plugin(AnnouncementsPlugin announcements) {
        return announcements;
    }
}
