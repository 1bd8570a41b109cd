package dev.zinniaring.soak;

/** Generates the calls of a run. */
interface Load {
    void start();

    /** Stops sending and waits up to 5 s for the calls in flight. */
    void stop() throws InterruptedException;
}
