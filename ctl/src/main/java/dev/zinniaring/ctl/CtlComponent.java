package dev.zinniaring.ctl;

import dagger.BindsInstance;
import dagger.Component;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.publish.Publisher;
import dev.zinniaring.store.Pause;
import dev.zinniaring.store.PlatformHttp;
import jakarta.inject.Singleton;

/** Dagger component that provides the dependencies of the commands. */
@Singleton
@Component(modules = CtlModule.class)
interface CtlComponent {
    Publisher publisher();

    NodeAdmin nodes();

    RolloutWait rolloutWait();

    PlatformHttp http();

    /** Creates the component for one execution of {@code zinniarctl}. */
    @Component.Factory
    interface Factory {
        CtlComponent create(
                @BindsInstance CtlSettings settings,
                @BindsInstance Console console,
                @BindsInstance Clock clock,
                @BindsInstance Pause pause);
    }
}
