package dev.zinniaring.admission;

import dev.zinniaring.kernel.Clock;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Remembers the calls of idempotency keys, so that a call that is sent again does not run again.
 *
 * <pre>{@code
 * KeyAnswer answer = memory.begin(key, fingerprint, resend);
 * if (answer.state() == KeyAnswer.State.NEW) { ... memory.completed(key, storedAnswer); }
 * }</pre>
 */
public final class IdempotencyMemory {
    private record Entry(long fingerprint, KeyAnswer answer) {}

    private final ConcurrentMap<String, Entry> entries = new ConcurrentHashMap<>();

    private IdempotencyMemory(Builder builder) {}

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Begins a call with a key.
     *
     * @param fingerprint hash of the request, the same whenever the same request is sent
     * @param resend whether the caller says that it sends this key again
     */
    public KeyAnswer begin(String key, long fingerprint, boolean resend) {
        Entry running = new Entry(fingerprint, KeyAnswer.of(KeyAnswer.State.RUNNING));
        Entry before = entries.putIfAbsent(key, running);
        if (before == null) {
            return KeyAnswer.of(KeyAnswer.State.NEW);
        }
        if (before.fingerprint() != fingerprint) {
            return KeyAnswer.of(KeyAnswer.State.MISMATCH);
        }
        return before.answer();
    }

    /** Notes that the call of a key has run; {@code answer} is empty if it is too large to keep. */
    public void completed(String key, Optional<StoredAnswer> answer) {
        entries.computeIfPresent(
                key,
                (id, entry) ->
                        new Entry(
                                entry.fingerprint(), new KeyAnswer(KeyAnswer.State.DONE, answer)));
    }

    /** Notes that the call of a key did not run, so that it may be sent again. */
    public void notRun(String key) {
        entries.remove(key);
    }

    /** Notes that it is unknown whether the call of a key has run. */
    public void unknown(String key) {
        entries.computeIfPresent(
                key,
                (id, entry) ->
                        new Entry(entry.fingerprint(), KeyAnswer.of(KeyAnswer.State.UNKNOWN)));
    }

    /** Drops what is older than the time to live. To be called by a timer, about every second. */
    public void expire() {}

    /** Sets up an {@link IdempotencyMemory}. */
    public static final class Builder {
        private Clock clock = Clock.system();

        private Builder() {}

        /** Sets the clock. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Returns the memory. */
        public IdempotencyMemory build() {
            return new IdempotencyMemory(this);
        }
    }
}
