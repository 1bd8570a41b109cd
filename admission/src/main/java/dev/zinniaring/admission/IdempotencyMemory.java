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
 * Stores the calls made with idempotency keys, so that a call that is resent does not run again.
 *
 * <pre>{@code
 * KeyAnswer answer = memory.begin(key, fingerprint, resend, homeSinceNanos);
 * if (answer.state() == KeyAnswer.State.NEW) {
 *     memory.completed(key, answer.run(), Optional.of(storedAnswer));
 * }
 * }</pre>
 *
 * <p>A key is removed when its time to live since the last change has passed, never earlier:
 * evicting a key to make room would let its call run twice. A full memory refuses new keys instead.
 * When the stored answers take too many bytes, the oldest answers are dropped; their keys and
 * states are kept.
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
    private final Queue<Entry> entriesByChange = new ConcurrentLinkedQueue<>();
    private final Queue<Entry> entriesWithAnswer = new ConcurrentLinkedQueue<>();
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
        // Starts at the wall clock, so that run numbers stay unique after a restart of the node.
        this.nextRun = new AtomicLong(clock.now().toEpochMilli() * 1_000);
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Registers a call with a key, unless the key is in use already or may have been used before.
     *
     * @param fingerprint hash of the request, the same whenever the same request is sent
     * @param resend whether the caller declares that it has sent this key before
     * @param homeSinceNanos reading of the clock at which this node became the key's home, the node
     *     that stores the state of the key
     * @return state {@link KeyAnswer.State#NEW} if the call has to run now; in any other state it
     *     must not run
     */
    public KeyAnswer begin(String key, long fingerprint, boolean resend, long homeSinceNanos) {
        Entry present = findUnexpired(key);
        if (present != null) {
            return answerForKnownKey(present, fingerprint);
        }
        if (resend && !absenceProven(homeSinceNanos)) {
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
            return answerForKnownKey(other, fingerprint);
        }
        entriesByChange.add(entry);
        return new KeyAnswer(KeyAnswer.State.NEW, run, Optional.empty());
    }

    /** Records that a run has completed; an answer that is too large is not stored. */
    public void completed(String key, long run, Optional<StoredAnswer> answer) {
        Optional<StoredAnswer> storedAnswer =
                answer.filter(present -> present.sizeBytes() <= maxOneAnswerBytes);
        endRun(key, run, KeyAnswer.State.DONE, storedAnswer);
    }

    /** Removes the key of a run that did not take place, so that it can be sent again. */
    public void notRun(String key, long run) {
        Entry present = entries.get(key);
        if (present != null && isRunning(present, run) && entries.remove(key, present)) {
            size.decrementAndGet();
        }
    }

    /** Records that it is unknown whether a run took place. */
    public void unknown(String key, long run) {
        endRun(key, run, KeyAnswer.State.UNKNOWN, Optional.empty());
    }

    /**
     * Removes keys and answers older than the time to live. A timer is expected to call this about
     * every second.
     */
    public void expire() {
        long nowNanos = clock.nanos();
        Entry answered = entriesWithAnswer.peek();
        while (answered != null && expired(answered, nowNanos)) {
            dropOldestAnswer();
            answered = entriesWithAnswer.peek();
        }
        Entry changed = entriesByChange.peek();
        while (changed != null && expired(changed, nowNanos)) {
            entriesByChange.poll();
            removeIfUnchanged(changed);
            changed = entriesByChange.peek();
        }
    }

    /** Returns the number of stored keys. */
    public int size() {
        return size.get();
    }

    /** Returns the total size of the stored answers in bytes. */
    public long answerBytes() {
        return answerBytes.get();
    }

    private @Nullable Entry findUnexpired(String key) {
        Entry present = entries.get(key);
        if (present != null && expired(present, clock.nanos())) {
            removeIfUnchanged(present);
            return null;
        }
        return present;
    }

    private static KeyAnswer answerForKnownKey(Entry present, long fingerprint) {
        if (present.fingerprint() != fingerprint) {
            return KeyAnswer.of(KeyAnswer.State.MISMATCH);
        }
        return new KeyAnswer(present.state(), 0, present.answer());
    }

    private boolean absenceProven(long homeSinceNanos) {
        long nowNanos = clock.nanos();
        return nowNanos - startNanos >= ttlNanos && nowNanos - homeSinceNanos >= ttlNanos;
    }

    private boolean expired(Entry entry, long nowNanos) {
        return nowNanos - entry.changedNanos() >= ttlNanos;
    }

    private static boolean isRunning(Entry entry, long run) {
        return entry.run() == run && entry.state() == KeyAnswer.State.RUNNING;
    }

    private void endRun(
            String key, long run, KeyAnswer.State state, Optional<StoredAnswer> answer) {
        Entry present = entries.get(key);
        if (present == null || !isRunning(present, run)) {
            return;
        }
        Entry ended = new Entry(key, present.fingerprint(), run, state, answer, clock.nanos());
        if (!entries.replace(key, present, ended)) {
            return;
        }
        entriesByChange.add(ended);
        if (answer.isPresent()) {
            answerBytes.addAndGet(ended.answerBytes());
            entriesWithAnswer.add(ended);
        }
        while (answerBytes.get() > maxAnswerBytes) {
            dropOldestAnswer();
        }
    }

    private void dropOldestAnswer() {
        Entry oldest = entriesWithAnswer.poll();
        if (oldest != null) {
            answerBytes.addAndGet(-oldest.answerBytes());
            entries.replace(oldest.key(), oldest, oldest.withoutAnswer());
        }
    }

    /** Removes the entry unless the key has changed since the entry was queued. */
    private void removeIfUnchanged(Entry entry) {
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

    /** Builds an {@link IdempotencyMemory}. */
    public static final class Builder {
        private Clock clock = Clock.system();
        private Duration ttl = Duration.ofMinutes(10);
        private int maxEntries = 100_000;
        private long maxAnswerBytes = 16 << 20;
        private int maxOneAnswerBytes = 16 << 10;

        private Builder() {}

        /** Sets the clock; the system clock by default. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Sets how long a key is kept after its last change; 10 minutes by default. */
        public Builder ttl(Duration value) {
            if (value.isNegative() || value.isZero()) {
                throw new IllegalArgumentException("ttl must be above 0, was " + value);
            }
            this.ttl = value;
            return this;
        }

        /** Sets the maximum number of keys; 100,000 by default. */
        public Builder maxEntries(int value) {
            this.maxEntries = value;
            return this;
        }

        /** Sets the maximum size of all stored answers in bytes; 16 MiB by default. */
        public Builder maxAnswerBytes(long value) {
            this.maxAnswerBytes = value;
            return this;
        }

        /** Sets the maximum size of one stored answer in bytes; 16 KiB by default. */
        public Builder maxOneAnswerBytes(int value) {
            this.maxOneAnswerBytes = value;
            return this;
        }

        /** Returns a new, empty memory. */
        public IdempotencyMemory build() {
            return new IdempotencyMemory(this);
        }
    }
}
