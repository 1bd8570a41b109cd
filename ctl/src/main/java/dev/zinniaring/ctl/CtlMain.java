package dev.zinniaring.ctl;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.store.Pause;

/** Entry of the process {@code zinniarctl}. */
public final class CtlMain {
    private CtlMain() {}

    /** Runs one command and ends the process with its status. */
    public static void main(String[] args) {
        System.exit(new Ctl(System.out, System.err, Clock.system(), Pause.blocking()).run(args));
    }
}
