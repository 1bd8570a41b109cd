package dev.zinniaring.distribution;

import dev.zinniaring.model.Version;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The recorded version that a node holds and the version that is active on it. Both only move to
 * higher numbers. Thread-safe; reading is one atomic read.
 */
final class VersionState {
    private static final Logger log = LoggerFactory.getLogger(VersionState.class);

    private final AtomicReference<Snapshot> snapshot =
            new AtomicReference<>(new Snapshot(null, null, OptionalLong.empty(), null));
    private final LongAdder conflicts = new LongAdder();

    /** Result of offering a version. */
    enum Outcome {
        /** The version is active. */
        ACTIVATED,
        /** The version is held until the floor permits its activation. */
        HELD,
        /** The number is not above that of the held version. */
        OLD,
        /** The held version has the same number but another hash. */
        CONFLICT
    }

    /** A version that this node could not decode. */
    record Refused(long number, String hash, String reason) {}

    /** Consistent snapshot of all fields. */
    record Snapshot(
            @Nullable HeldVersion held,
            @Nullable Version active,
            OptionalLong floor,
            @Nullable Refused refused) {
        long heldNumber() {
            return held == null ? 0 : held.number();
        }

        String heldHash() {
            return held == null ? "" : held.hash();
        }

        /** Returns a snapshot with the held version active if its number is not below the floor. */
        Snapshot activated() {
            HeldVersion next = held;
            if (next == null || floor.isEmpty() || next.number() < floor.getAsLong()) {
                return this;
            }
            return new Snapshot(next, next.version(), floor, refused);
        }
    }

    Snapshot now() {
        return Objects.requireNonNull(snapshot.get(), "snapshot");
    }

    /** Accepts a version that a majority of seeds has recorded. */
    Outcome offer(HeldVersion offered) {
        Snapshot before = snapshot.getAndUpdate(now -> withHeld(now, offered));
        if (conflictsWith(before, offered.number(), offered.hash())) {
            conflict(offered.number(), offered.hash());
            return Outcome.CONFLICT;
        }
        if (offered.number() <= before.heldNumber()) {
            return Outcome.OLD;
        }
        boolean allowed = before.floor.isPresent() && offered.number() >= before.floor.getAsLong();
        return allowed ? Outcome.ACTIVATED : Outcome.HELD;
    }

    /**
     * Sets the floor. Further answers of seeds may lower it but never raise it.
     *
     * @return whether this activated a version
     */
    boolean floor(long floor) {
        Snapshot before = snapshot.getAndUpdate(now -> withFloor(now, floor));
        return before.active == null && withFloor(before, floor).active != null;
    }

    /** Records that this node cannot decode a version. The active version stays unchanged. */
    void refuse(long number, String hash, String reason) {
        update(
                now ->
                        new Snapshot(
                                now.held,
                                now.active,
                                now.floor,
                                new Refused(number, hash, reason)));
    }

    /**
     * Returns whether to fetch a version announced by a peer. Counts a conflict if the held version
     * has the same number and another hash.
     */
    boolean shouldFetch(long number, String hash) {
        Snapshot now = now();
        if (conflictsWith(now, number, hash)) {
            conflict(number, hash);
            return false;
        }
        Refused refused = now.refused;
        boolean unreadable =
                refused != null && refused.number == number && refused.hash.equals(hash);
        return number > now.heldNumber() && !unreadable;
    }

    long conflicts() {
        return conflicts.sum();
    }

    /** Logs only the first conflict, since a peer may repeat it with each digest. */
    private void conflict(long number, String hash) {
        if (conflicts.sum() == 0) {
            log.error("rejected version {} with conflicting hash {}", number, hash);
        }
        conflicts.increment();
    }

    private void update(UnaryOperator<Snapshot> change) {
        snapshot.updateAndGet(change);
    }

    private static boolean conflictsWith(Snapshot now, long number, String hash) {
        return number > 0 && number == now.heldNumber() && !hash.equals(now.heldHash());
    }

    private static Snapshot withHeld(Snapshot now, HeldVersion offered) {
        if (offered.number() <= now.heldNumber()) {
            return now;
        }
        return new Snapshot(offered, now.active, now.floor, now.refused).activated();
    }

    private static Snapshot withFloor(Snapshot now, long floor) {
        if (now.floor.isPresent() && now.floor.getAsLong() <= floor) {
            return now;
        }
        return new Snapshot(now.held, now.active, OptionalLong.of(floor), now.refused).activated();
    }
}
