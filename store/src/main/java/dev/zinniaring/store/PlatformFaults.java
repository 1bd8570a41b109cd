package dev.zinniaring.store;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.TokenBucket;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Fault injection for a {@link MemoryPlatform}. Each setting takes effect with the next request.
 * Thread-safe.
 *
 * <pre>{@code
 * platform.faults().outage(true);
 * platform.faults().rule((kind, key) -> kind.isWrite() ? Fault.LOST_AFTER_EFFECT : Fault.NONE);
 * platform.faults().clear();
 * }</pre>
 */
public final class PlatformFaults {
    /** Rate limit of reads per second that the deployments observe on the platform. */
    public static final int USUAL_READS_PER_SECOND = 2_000;

    /** Rate limit of writes per second that the deployments observe on the platform. */
    public static final int USUAL_WRITES_PER_SECOND = 300;

    private final Clock clock;
    private final AtomicReference<State> state = new AtomicReference<>(State.NO_FAULTS);

    PlatformFaults(Clock clock) {
        this.clock = clock;
    }

    private record State(
            boolean outage,
            Duration delay,
            @Nullable TokenBucket reads,
            @Nullable TokenBucket writes,
            FaultRule rule) {
        static final State NO_FAULTS = new State(false, Duration.ZERO, null, null, FaultRule.NONE);
    }

    /** Rejects every request as unavailable while {@code on}. */
    public PlatformFaults outage(boolean on) {
        state.updateAndGet(s -> new State(on, s.delay, s.reads, s.writes, s.rule));
        return this;
    }

    /** Delays every request before it takes effect; zero disables the delay. */
    public PlatformFaults delay(Duration delay) {
        if (delay.isNegative()) {
            throw new IllegalArgumentException("delay must not be negative, was " + delay);
        }
        state.updateAndGet(s -> new State(s.outage, delay, s.reads, s.writes, s.rule));
        return this;
    }

    /** Rejects requests above these rates, with bursts of up to one second's quota. */
    public PlatformFaults limits(int readsPerSecond, int writesPerSecond) {
        TokenBucket reads = new TokenBucket(clock, readsPerSecond, readsPerSecond);
        TokenBucket writes = new TokenBucket(clock, writesPerSecond, writesPerSecond);
        state.updateAndGet(s -> new State(s.outage, s.delay, reads, writes, s.rule));
        return this;
    }

    /** Removes the rate limits. */
    public PlatformFaults unlimited() {
        state.updateAndGet(s -> new State(s.outage, s.delay, null, null, s.rule));
        return this;
    }

    /** Applies a rule to each request that the outage and the rate limits do not reject. */
    public PlatformFaults rule(FaultRule rule) {
        state.updateAndGet(s -> new State(s.outage, s.delay, s.reads, s.writes, rule));
        return this;
    }

    /** Removes all faults, delays and rate limits. */
    public void clear() {
        state.set(State.NO_FAULTS);
    }

    /** Returns the current delay of each request. */
    public Duration delay() {
        return current().delay;
    }

    Fault next(RequestKind kind, String key) {
        State now = current();
        if (now.outage) {
            return Fault.UNAVAILABLE;
        }
        TokenBucket bucket = kind.isWrite() ? now.writes : now.reads;
        if (bucket != null && !bucket.take()) {
            return Fault.THROTTLED;
        }
        return now.rule.next(kind, key);
    }

    private State current() {
        State now = state.get();
        if (now == null) {
            throw new IllegalStateException("fault state is null");
        }
        return now;
    }
}
