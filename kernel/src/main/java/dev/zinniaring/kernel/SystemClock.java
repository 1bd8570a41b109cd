package dev.zinniaring.kernel;

import java.time.Instant;

/** The clock of the VM on which the process runs. */
enum SystemClock implements Clock {
    INSTANCE;

    @Override
    public Instant now() {
        return Instant.now();
    }

    @Override
    public long nanos() {
        return System.nanoTime();
    }
}
