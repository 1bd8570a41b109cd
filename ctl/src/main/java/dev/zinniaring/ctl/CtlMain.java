package dev.zinniaring.ctl;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.store.Pause;

/** Main class of {@code zinniarctl}. */
public final class CtlMain {
    private CtlMain() {}

    /** Executes one command and exits with its status. */
    public static void main(String[] args) {
        System.exit(new Ctl(System.out, System.err, Clock.system(), Pause.blocking()).run(args));
    }
}
