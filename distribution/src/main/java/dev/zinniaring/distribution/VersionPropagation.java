package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Gzip;
import dev.zinniaring.kernel.TokenBucket;
import dev.zinniaring.model.InvalidTablesException;
import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.model.TablesDelta;
import dev.zinniaring.transport.Peer;
import java.time.Duration;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Propagates recorded versions between nodes: pushes new versions, exchanges digests and pulls
 * missing versions. Runs in the mailbox.
 */
final class VersionPropagation {
    private static final Logger log = LoggerFactory.getLogger(VersionPropagation.class);
    // Several neighbours push to the same node. A version with a larger delta is therefore only
    // announced, and the receiver pulls its body once.
    private static final int MAX_PUSHED_DELTA_BYTES = 32 * 1024;
    private static final Duration PULL_TIMEOUT = Duration.ofSeconds(1);
    private static final double BODIES_PER_SECOND = 50;
    private static final double BODY_BURST = 100;

    private final Context context;
    private final VersionState state;
    private final BiConsumer<HeldVersion, VersionState.Outcome> accepted;
    private final TokenBucket bodyLimit;
    private final CrossZoneSchedule crossZoneSchedule = new CrossZoneSchedule();
    private @Nullable Delta delta;
    private @Nullable VersionBody body;
    private long pullNanos;
    private boolean pulling;
    private long refusedBodies;

    /** The compressed delta between two versions. */
    private record Delta(long number, long baseNumber, String baseHash, byte[] compressed) {
        boolean appliesTo(long number, String hash) {
            return baseNumber == number && baseHash.equals(hash);
        }
    }

    VersionPropagation(
            Context context,
            VersionState state,
            BiConsumer<HeldVersion, VersionState.Outcome> accepted) {
        this.context = context;
        this.state = state;
        this.accepted = accepted;
        this.bodyLimit = new TokenBucket(context.clock(), BODIES_PER_SECOND, BODY_BURST);
    }

    /** Accepts a version that this node has recorded on a majority of seeds, and pushes it. */
    void onRecorded(HeldVersion version) {
        HeldVersion before = state.now().held();
        if (offer(version)) {
            delta = deltaFrom(before, version);
            send(version, PushPlan.fromHere(context.view()));
        }
    }

    void onPush(Peer from, VersionPush push) {
        if (!state.shouldFetch(push.number(), push.hash())) {
            return;
        }
        HeldVersion base = state.now().held();
        if (base == null || !isBase(base, push) || !applyDelta(from, push, base)) {
            pull(from);
        }
    }

    void onPull(Peer from, VersionPull pull) {
        HeldVersion held = state.now().held();
        if (held == null || held.number() <= pull.heldNumber()) {
            return;
        }
        Delta matching = deltaFrom(pull.heldNumber(), pull.heldHash());
        if (matching != null && matching.compressed.length <= MAX_PUSHED_DELTA_BYTES) {
            context.network().send(from, push(held, matching, new TreeSet<>()));
        } else if (bodyLimit.take()) {
            context.network().send(from, compressedBody(held));
        } else {
            refusedBodies++;
        }
    }

    void onBody(Peer from, VersionBody message) {
        pulling = false;
        if (!state.shouldFetch(message.number(), message.hash())) {
            return;
        }
        try {
            byte[] bytes =
                    Decompression.decompress(message.compressedBody(), TablesCodec.MAX_BODY_BYTES);
            accept(from, message.number(), message.hash(), bytes, null, new TreeSet<>());
        } catch (DistributionException e) {
            log.warn("rejected version body from {}: {}", from.nodeId(), e.getMessage());
        }
    }

    void onDigest(Peer from, VersionDigest digest) {
        VersionState.Snapshot now = state.now();
        HeldVersion held = now.held();
        if (state.shouldFetch(digest.number(), digest.hash())) {
            pull(from);
        } else if (held != null && digest.number() < held.number()) {
            Delta matching = deltaFrom(digest.number(), digest.hash());
            context.network().send(from, push(held, matching, new TreeSet<>()));
        }
    }

    /**
     * Sends a digest to one peer of the own zone and, in the rounds that include another zone, to
     * one gateway of another zone.
     */
    void sendDigests() {
        VersionState.Snapshot now = state.now();
        VersionDigest digest = new VersionDigest(now.heldNumber(), now.heldHash());
        PeerSelection.inZone(context.view(), context.random())
                .ifPresent(peer -> context.network().send(peer, digest));
        if (crossZoneSchedule.next(context.view())) {
            PeerSelection.acrossZones(context.view(), context.random())
                    .ifPresent(peer -> context.network().send(peer, digest));
        }
    }

    /**
     * Requests the version of a peer that may hold none. Does not mark a pull as running, so that a
     * peer that announces a version can still be asked immediately.
     */
    void pullAtStart(int attempt) {
        PeerSelection.forBootstrap(context.view(), context.random(), attempt)
                .ifPresent(this::sendPull);
    }

    long refusedBodies() {
        return refusedBodies;
    }

    private void pull(Peer from) {
        boolean waiting = pulling && context.clock().since(pullNanos).compareTo(PULL_TIMEOUT) < 0;
        if (waiting) {
            return;
        }
        pulling = true;
        pullNanos = context.clock().nanos();
        sendPull(from);
    }

    private void sendPull(Peer to) {
        VersionState.Snapshot now = state.now();
        context.network().send(to, new VersionPull(now.heldNumber(), now.heldHash()));
    }

    private static boolean isBase(HeldVersion held, VersionPush push) {
        return push.delta().length > 0
                && held.number() == push.baseNumber()
                && held.hash().equals(push.baseHash());
    }

    private boolean applyDelta(Peer from, VersionPush push, HeldVersion base) {
        try {
            byte[] bytes = Decompression.decompress(push.delta(), TablesCodec.MAX_BODY_BYTES);
            byte[] target = TablesDelta.apply(base.version().tables(), bytes, push.hash());
            Delta received =
                    new Delta(push.number(), push.baseNumber(), push.baseHash(), push.delta());
            accept(from, push.number(), push.hash(), target, received, push.zones());
            return true;
        } catch (DistributionException | InvalidTablesException e) {
            log.warn("cannot apply delta from {}: {}", from.nodeId(), e.getMessage());
            return false;
        }
    }

    private void accept(
            Peer from,
            long number,
            String hash,
            byte[] bytes,
            @Nullable Delta received,
            SortedSet<String> zones)
            throws DistributionException {
        HeldVersion before = state.now().held();
        HeldVersion version = checked(number, hash, bytes);
        if (version != null && offer(version)) {
            delta = received != null ? received : deltaFrom(before, version);
            send(version, PushPlan.from(context.view(), from, zones));
        }
    }

    private @Nullable HeldVersion checked(long number, String hash, byte[] bytes)
            throws DistributionException {
        try {
            return HeldVersion.read(number, hash, bytes);
        } catch (InvalidTablesException e) {
            state.refuse(number, hash, String.valueOf(e.getMessage()));
            log.warn("rejected version {}: {}", number, e.getMessage());
            return null;
        }
    }

    private boolean offer(HeldVersion version) {
        VersionState.Outcome outcome = state.offer(version);
        if (outcome != VersionState.Outcome.ACTIVATED && outcome != VersionState.Outcome.HELD) {
            return false;
        }
        pulling = false;
        body = null;
        accepted.accept(version, outcome);
        return true;
    }

    private void send(HeldVersion version, PushPlan plan) {
        VersionPush push = push(version, delta, plan.zones());
        plan.peers().forEach(peer -> context.network().send(peer, push));
    }

    private static VersionPush push(
            HeldVersion held, @Nullable Delta delta, SortedSet<String> zones) {
        if (delta == null || delta.compressed.length > MAX_PUSHED_DELTA_BYTES) {
            return new VersionPush(held.number(), held.hash(), 0, "", new byte[0], zones);
        }
        return new VersionPush(
                held.number(),
                held.hash(),
                delta.baseNumber,
                delta.baseHash,
                delta.compressed,
                zones);
    }

    private @Nullable Delta deltaFrom(long number, String hash) {
        Delta known = delta;
        return known != null && known.appliesTo(number, hash) ? known : null;
    }

    private VersionBody compressedBody(HeldVersion held) {
        VersionBody cached = body;
        if (cached == null || cached.number() != held.number()) {
            cached = new VersionBody(held.number(), held.hash(), Gzip.compress(held.body()));
            body = cached;
        }
        return cached;
    }

    private static @Nullable Delta deltaFrom(@Nullable HeldVersion base, HeldVersion target) {
        if (base == null) {
            return null;
        }
        byte[] bytes = TablesDelta.between(base.version().tables(), target.version().tables());
        return new Delta(target.number(), base.number(), base.hash(), Gzip.compress(bytes));
    }
}
