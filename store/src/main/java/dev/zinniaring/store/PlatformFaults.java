package dev.zinniaring.store;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.TokenBucket;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Switches of what goes wrong with a {@link MemoryPlatform}. Each takes effect with the next
 * request. Safe for use by several threads.
 *
 * <pre>{@code
 * platform.faults().outage(true);
 * platform.faults().rule((kind, key) -> kind.isWrite() ? Fault.LOST_AFTER_EFFECT : Fault.NONE);
 * platform.faults().clear();
 * }</pre>
 */
public final class PlatformFaults {
    /** Reads that the platform takes each second, as the deployments see it. */
    public static final int USUAL_READS_PER_SECOND = 2_000;

    /** Writes that the platform takes each second, as the deployments see it. */
    public static final int USUAL_WRITES_PER_SECOND = 300;

    private final Clock clock;
    private final AtomicReference<State> state = new AtomicReference<>(State.CLEAR);

    PlatformFaults(Clock clock) {
        this.clock = clock;
    }

    private record State(
            boolean outage,
            Duration delay,
            @Nullable TokenBucket reads,
            @Nullable TokenBucket writes,
            FaultRule rule) {
        static final State CLEAR = new State(false, Duration.ZERO, null, null, FaultRule.NONE);
    }

    /** Refuses every request while {@code on}. */
    public PlatformFaults outage(boolean on) {
        state.updateAndGet(s -> new State(on, s.delay, s.reads, s.writes, s.rule));
        return this;
    }

    /** Delays every request before it takes effect; zero for no delay. */
    public PlatformFaults delay(Duration delay) {
        if (delay.isNegative()) {
            throw new IllegalArgumentException("delay must not be negative, was " + delay);
        }
        state.updateAndGet(s -> new State(s.outage, delay, s.reads, s.writes, s.rule));
        return this;
    }

    /** Refuses requests above these rates; a burst of one second's worth is let through. */
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

    /** Lets a rule decide on each request that no other switch refuses. */
    public PlatformFaults rule(FaultRule rule) {
        state.updateAndGet(s -> new State(s.outage, s.delay, s.reads, s.writes, rule));
        return this;
    }

    /** Switches everything off, rate limits included. */
    public void clear() {
        state.set(State.CLEAR);
    }

    /** Returns the present delay of each request. */
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
            throw new IllegalStateException("the state of the faults is never null");
        }
        return now;
    }
}
