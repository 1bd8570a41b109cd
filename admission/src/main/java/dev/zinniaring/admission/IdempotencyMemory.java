package dev.zinniaring.admission;

import dev.zinniaring.kernel.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Remembers the calls of idempotency keys, so that a call that is sent again does not run again.
 *
 * <pre>{@code
 * KeyAnswer answer = memory.begin(key, fingerprint, resend, homeSinceNanos);
 * if (answer.state() == KeyAnswer.State.NEW) {
 *     memory.completed(key, answer.run(), Optional.of(storedAnswer));
 * }
 * }</pre>
 *
 * <p>A key is forgotten a time to live after its last change, never earlier: dropping it for want
 * of room would let its call run twice. A full memory refuses new keys instead. Answers are
 * dropped, oldest first, when they take too many bytes; what has run is remembered all the same.
 */
public final class IdempotencyMemory {
    private record Entry(
            String key,
            long fingerprint,
            long run,
            KeyAnswer.State state,
            Optional<StoredAnswer> answer,
            long changedNanos) {
        int answerBytes() {
            return answer.map(StoredAnswer::sizeBytes).orElse(0);
        }

        Entry withoutAnswer() {
            return new Entry(key, fingerprint, run, state, Optional.empty(), changedNanos);
        }
    }

    private final Clock clock;
    private final long ttlNanos;
    private final int maxEntries;
    private final long maxAnswerBytes;
    private final int maxOneAnswerBytes;
    private final long startNanos;
    private final ConcurrentMap<String, Entry> entries = new ConcurrentHashMap<>();
    private final Queue<Entry> changes = new ConcurrentLinkedQueue<>();
    private final Queue<Entry> stored = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();
    private final AtomicLong answerBytes = new AtomicLong();
    private final AtomicLong nextRun;

    private IdempotencyMemory(Builder builder) {
        this.clock = builder.clock;
        this.ttlNanos = builder.ttl.toNanos();
        this.maxEntries = builder.maxEntries;
        this.maxAnswerBytes = builder.maxAnswerBytes;
        this.maxOneAnswerBytes = builder.maxOneAnswerBytes;
        this.startNanos = clock.nanos();
        // Starts at the wall clock, so that a run of an earlier life of the node has another
        // number.
        this.nextRun = new AtomicLong(clock.now().toEpochMilli() * 1_000);
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Begins a call with a key.
     *
     * @param fingerprint hash of the request, the same whenever the same request is sent
     * @param resend whether the caller says that it sends this key again
     * @param homeSinceNanos reading of the clock since when this node has been the key's home
     */
    public KeyAnswer begin(String key, long fingerprint, boolean resend, long homeSinceNanos) {
        Entry present = live(key);
        if (present != null) {
            return seen(present, fingerprint);
        }
        if (resend && !provesAbsence(homeSinceNanos)) {
            return KeyAnswer.of(KeyAnswer.State.UNKNOWN);
        }
        if (size.incrementAndGet() > maxEntries) {
            size.decrementAndGet();
            return KeyAnswer.of(KeyAnswer.State.FULL);
        }
        long run = nextRun.incrementAndGet();
        Entry entry =
                new Entry(
                        key,
                        fingerprint,
                        run,
                        KeyAnswer.State.RUNNING,
                        Optional.empty(),
                        clock.nanos());
        Entry other = entries.putIfAbsent(key, entry);
        if (other != null) {
            size.decrementAndGet();
            return seen(other, fingerprint);
        }
        changes.add(entry);
        return new KeyAnswer(KeyAnswer.State.NEW, run, Optional.empty());
    }

    /** Notes that a run has completed; an answer that is too large is not kept. */
    public void completed(String key, long run, Optional<StoredAnswer> answer) {
        Optional<StoredAnswer> kept =
                answer.filter(present -> present.sizeBytes() <= maxOneAnswerBytes);
        end(key, run, KeyAnswer.State.DONE, kept);
    }

    /** Notes that a run did not take place, so that the key may be sent again. */
    public void notRun(String key, long run) {
        Entry present = entries.get(key);
        if (present != null && isRunning(present, run) && entries.remove(key, present)) {
            size.decrementAndGet();
        }
    }

    /** Notes that it is unknown whether a run took place. */
    public void unknown(String key, long run) {
        end(key, run, KeyAnswer.State.UNKNOWN, Optional.empty());
    }

    /** Drops what is older than the time to live. To be called by a timer, about every second. */
    public void expire() {
        long nowNanos = clock.nanos();
        Entry answered = stored.peek();
        while (answered != null && expired(answered, nowNanos)) {
            dropOldestAnswer();
            answered = stored.peek();
        }
        Entry changed = changes.peek();
        while (changed != null && expired(changed, nowNanos)) {
            changes.poll();
            forget(changed);
            changed = changes.peek();
        }
    }

    /** Returns how many keys are remembered. */
    public int size() {
        return size.get();
    }

    /** Returns how many bytes the kept answers take. */
    public long answerBytes() {
        return answerBytes.get();
    }

    private @Nullable Entry live(String key) {
        Entry present = entries.get(key);
        if (present != null && expired(present, clock.nanos())) {
            forget(present);
            return null;
        }
        return present;
    }

    private static KeyAnswer seen(Entry present, long fingerprint) {
        if (present.fingerprint() != fingerprint) {
            return KeyAnswer.of(KeyAnswer.State.MISMATCH);
        }
        return new KeyAnswer(present.state(), 0, present.answer());
    }

    private boolean provesAbsence(long homeSinceNanos) {
        long nowNanos = clock.nanos();
        return nowNanos - startNanos >= ttlNanos && nowNanos - homeSinceNanos >= ttlNanos;
    }

    private boolean expired(Entry entry, long nowNanos) {
        return nowNanos - entry.changedNanos() >= ttlNanos;
    }

    private static boolean isRunning(Entry entry, long run) {
        return entry.run() == run && entry.state() == KeyAnswer.State.RUNNING;
    }

    private void end(String key, long run, KeyAnswer.State state, Optional<StoredAnswer> answer) {
        Entry present = entries.get(key);
        if (present == null || !isRunning(present, run)) {
            return;
        }
        Entry ended = new Entry(key, present.fingerprint(), run, state, answer, clock.nanos());
        if (!entries.replace(key, present, ended)) {
            return;
        }
        changes.add(ended);
        if (answer.isPresent()) {
            answerBytes.addAndGet(ended.answerBytes());
            stored.add(ended);
        }
        while (answerBytes.get() > maxAnswerBytes) {
            dropOldestAnswer();
        }
    }

    private void dropOldestAnswer() {
        Entry oldest = stored.poll();
        if (oldest != null) {
            answerBytes.addAndGet(-oldest.answerBytes());
            entries.replace(oldest.key(), oldest, oldest.withoutAnswer());
        }
    }

    /** Removes the entry unless the key has changed since. */
    private void forget(Entry entry) {
        Entry present = entries.get(entry.key());
        boolean unchanged =
                present != null
                        && present.run() == entry.run()
                        && present.changedNanos() == entry.changedNanos()
                        && present.state() == entry.state();
        if (unchanged && entries.remove(entry.key(), present)) {
            size.decrementAndGet();
        }
    }

    /** Sets up an {@link IdempotencyMemory}. */
    public static final class Builder {
        private Clock clock = Clock.system();
        private Duration ttl = Duration.ofMinutes(10);
        private int maxEntries = 100_000;
        private long maxAnswerBytes = 16 << 20;
        private int maxOneAnswerBytes = 16 << 10;

        private Builder() {}

        /** Sets the clock; the system's by default. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Sets how long a key is remembered after its last change; 10 minutes by default. */
        public Builder ttl(Duration value) {
            if (value.isNegative() || value.isZero()) {
                throw new IllegalArgumentException("ttl must be above 0, was " + value);
            }
            this.ttl = value;
            return this;
        }

        /** Sets how many keys are remembered; 100,000 by default. */
        public Builder maxEntries(int value) {
            this.maxEntries = value;
            return this;
        }

        /** Sets how many bytes all kept answers may take; 16 MiB by default. */
        public Builder maxAnswerBytes(long value) {
            this.maxAnswerBytes = value;
            return this;
        }

        /** Sets how many bytes one kept answer may take; 16 KiB by default. */
        public Builder maxOneAnswerBytes(int value) {
            this.maxOneAnswerBytes = value;
            return this;
        }

        /** Returns the memory. */
        public IdempotencyMemory build() {
            return new IdempotencyMemory(this);
        }
    }
}
