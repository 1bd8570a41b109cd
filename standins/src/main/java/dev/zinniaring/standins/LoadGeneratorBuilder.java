package dev.zinniaring.standins;

import dev.zinniaring.kernel.Clock;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Builds a {@link LoadGenerator}. */
public final class LoadGeneratorBuilder {
    final List<InetSocketAddress> targets = new ArrayList<>();
    final List<LoadStream> streams = new ArrayList<>();
    Duration duration = Duration.ofSeconds(5);
    Duration timeout = Duration.ofSeconds(10);
    int maxCalls = 100_000;
    int maxInFlight = 512;
    long seed = 1;
    String callIdPrefix = "load";
    Clock clock = Clock.system();

    LoadGeneratorBuilder() {}

    /** Adds a target address; calls are distributed over several targets in turn. */
    public LoadGeneratorBuilder target(InetSocketAddress address) {
        targets.add(address);
        return this;
    }

    /** Adds a stream of calls, which is sent concurrently with the others. */
    public LoadGeneratorBuilder stream(LoadStream stream) {
        streams.add(stream);
        return this;
    }

    /** Sets the time during which calls are sent. */
    public LoadGeneratorBuilder duration(Duration length) {
        duration = length;
        return this;
    }

    /** Sets the time-out of each call. */
    public LoadGeneratorBuilder timeout(Duration length) {
        timeout = length;
        return this;
    }

    /** Sets the maximum number of calls over all streams. */
    public LoadGeneratorBuilder maxCalls(int count) {
        maxCalls = count;
        return this;
    }

    /** Sets the maximum number of calls in flight; further arrivals are counted as skipped. */
    public LoadGeneratorBuilder maxInFlight(int count) {
        maxInFlight = count;
        return this;
    }

    /** Sets the seed from which arrival times are drawn. */
    public LoadGeneratorBuilder seed(long value) {
        seed = value;
        return this;
    }

    /** Sets the prefix of the call ids. */
    public LoadGeneratorBuilder callIdPrefix(String prefix) {
        callIdPrefix = prefix;
        return this;
    }

    /** Sets the clock. */
    public LoadGeneratorBuilder clock(Clock source) {
        clock = source;
        return this;
    }

    /**
     * Returns the generator.
     *
     * @throws IllegalArgumentException if there is no target or no stream
     */
    public LoadGenerator build() {
        if (targets.isEmpty() || streams.isEmpty()) {
            throw new IllegalArgumentException(
                    "at least one target and one stream are required, but targets are "
                            + targets
                            + " and streams are "
                            + streams);
        }
        return new LoadGenerator(this);
    }
}
