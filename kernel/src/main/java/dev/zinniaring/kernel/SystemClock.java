package dev.zinniaring.kernel;

import java.time.Instant;

/** The clock of this VM. */
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
