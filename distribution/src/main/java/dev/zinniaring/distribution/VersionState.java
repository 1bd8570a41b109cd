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
 * The recorded version that a node holds and the one that it has in force. Both only move to higher
 * numbers. Safe for use by several threads; reading is one atomic read.
 */
final class VersionState {
    private static final Logger log = LoggerFactory.getLogger(VersionState.class);

    private final AtomicReference<Snapshot> snapshot =
            new AtomicReference<>(new Snapshot(null, null, OptionalLong.empty(), null));
    private final LongAdder conflicts = new LongAdder();

    /** What became of an offered version. */
    enum Outcome {
        /** It is in force. */
        IN_FORCE,
        /** It is held until the floor allows it. */
        HELD,
        /** Its number is not above the one held. */
        OLD,
        /** Its number is held with another hash. */
        CONFLICT
    }

    /** A version that could not be read on this node. */
    record Refused(long number, String hash, String reason) {}

    /** All fields at one moment. */
    record Snapshot(
            @Nullable HeldVersion held,
            @Nullable Version inForce,
            OptionalLong floor,
            @Nullable Refused refused) {
        long heldNumber() {
            return held == null ? 0 : held.number();
        }

        String heldHash() {
            return held == null ? "" : held.hash();
        }

        /** Puts the held version in force if it is at the floor or above. */
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

    /** Takes a version that a majority of seeds has recorded. */
    Outcome offer(HeldVersion offered) {
        Snapshot before = snapshot.getAndUpdate(now -> withHeld(now, offered));
        if (clashes(before, offered.number(), offered.hash())) {
            conflict(offered.number(), offered.hash());
            return Outcome.CONFLICT;
        }
        if (offered.number() <= before.heldNumber()) {
            return Outcome.OLD;
        }
        boolean allowed = before.floor.isPresent() && offered.number() >= before.floor.getAsLong();
        return allowed ? Outcome.IN_FORCE : Outcome.HELD;
    }

    /**
     * Sets the floor, which more answers of seeds may lower but never raise.
     *
     * @return whether this put a version in force
     */
    boolean floor(long floor) {
        Snapshot before = snapshot.getAndUpdate(now -> withFloor(now, floor));
        return before.inForce == null && withFloor(before, floor).inForce != null;
    }

    /** Notes a version that this node cannot read; what is in force stays. */
    void refuse(long number, String hash, String reason) {
        update(
                now ->
                        new Snapshot(
                                now.held,
                                now.inForce,
                                now.floor,
                                new Refused(number, hash, reason)));
    }

    /** Returns whether a version that a peer names should be fetched. Counts a clash of hashes. */
    boolean wants(long number, String hash) {
        Snapshot now = now();
        if (clashes(now, number, hash)) {
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

    /** Logs the first clash only, since a peer may repeat it with each digest. */
    private void conflict(long number, String hash) {
        if (conflicts.sum() == 0) {
            log.error("version {} came with a second hash {}, which is refused", number, hash);
        }
        conflicts.increment();
    }

    private void update(UnaryOperator<Snapshot> change) {
        snapshot.updateAndGet(change);
    }

    private static boolean clashes(Snapshot now, long number, String hash) {
        return number > 0 && number == now.heldNumber() && !hash.equals(now.heldHash());
    }

    private static Snapshot withHeld(Snapshot now, HeldVersion offered) {
        if (offered.number() <= now.heldNumber()) {
            return now;
        }
        return new Snapshot(offered, now.inForce, now.floor, now.refused).activated();
    }

    private static Snapshot withFloor(Snapshot now, long floor) {
        if (now.floor.isPresent() && now.floor.getAsLong() <= floor) {
            return now;
        }
        return new Snapshot(now.held, now.inForce, OptionalLong.of(floor), now.refused).activated();
    }
}
