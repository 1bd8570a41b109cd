package dev.zinniaring.ctl;

import dagger.BindsInstance;
import dagger.Component;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.publish.Publisher;
import dev.zinniaring.store.Pause;
import dev.zinniaring.store.PlatformHttp;
import jakarta.inject.Singleton;

/** What the commands work with. */
@Singleton
@Component(modules = CtlModule.class)
interface CtlComponent {
    Publisher publisher();

    NodeAdmin nodes();

    FollowWait followWait();

    PlatformHttp http();

    /** Wires one run of the command. */
    @Component.Factory
    interface Factory {
        CtlComponent create(
                @BindsInstance CtlSettings settings,
                @BindsInstance Console console,
                @BindsInstance Clock clock,
                @BindsInstance Pause pause);
    }
}
