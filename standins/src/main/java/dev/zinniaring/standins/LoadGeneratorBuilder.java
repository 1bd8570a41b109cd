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

    /** Adds an address to send to; several are used in turn. */
    public LoadGeneratorBuilder target(InetSocketAddress address) {
        targets.add(address);
        return this;
    }

    /** Adds a stream of calls. */
    public LoadGeneratorBuilder stream(LoadStream stream) {
        streams.add(stream);
        return this;
    }

    /** Sets for how long calls are sent. */
    public LoadGeneratorBuilder duration(Duration length) {
        duration = length;
        return this;
    }

    /** Sets the longest time of one call. */
    public LoadGeneratorBuilder timeout(Duration length) {
        timeout = length;
        return this;
    }

    /** Sets the most calls that are sent in all. */
    public LoadGeneratorBuilder maxCalls(int count) {
        maxCalls = count;
        return this;
    }

    /** Sets the most calls in flight at once; arrivals beyond are skipped and counted. */
    public LoadGeneratorBuilder maxInFlight(int count) {
        maxInFlight = count;
        return this;
    }

    /** Sets the seed of the arrivals. */
    public LoadGeneratorBuilder seed(long value) {
        seed = value;
        return this;
    }

    /** Sets the start of each call id. */
    public LoadGeneratorBuilder callIdPrefix(String prefix) {
        callIdPrefix = prefix;
        return this;
    }

    /** Sets the clock. */
    public LoadGeneratorBuilder clock(Clock source) {
        clock = source;
        return this;
    }

    /** Returns the generator. */
    public LoadGenerator build() {
        if (targets.isEmpty() || streams.isEmpty()) {
            throw new IllegalArgumentException(
                    "needs a target and a stream, has " + targets + " and " + streams);
        }
        return new LoadGenerator(this);
    }
}
