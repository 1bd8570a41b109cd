package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.Exchange;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.ClockReading;
import dev.zinniaring.model.EndpointRecord;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges digests with other nodes. Changes spread within an availability zone by pushes to a few
 * nodes, which forward them in turn, and by polling the zone's reader twice a second. In this way a
 * node that cannot reach the store learns changes from its peers, and a node that starts while the
 * store is unavailable is contacted by peers that know its address.
 */
final class PeerGossip {
    static final String DIGEST_PATH = "/peer/digest";
    static final String CONFIGURATION_PATH = "/peer/configuration";
    static final String SERVERS_PATH = "/peer/servers";

    private static final Logger log = LoggerFactory.getLogger("peers");
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int BODY_TIMEOUT_MILLIS = 2_000;

    /** Number of nodes of the zone that a change is pushed to; each pushes to as many others. */
    private static final int PUSH_FANOUT = 3;

    /** A node that did not answer is not considered as reader of the zone for this long. */
    private static final long FAILING_NANOS = 2_000_000_000L;

    /** A node whose state the store has not confirmed for this long is no reader candidate. */
    private static final long STALE_MILLIS = 2_500;

    /**
     * A reader that answers, but whose state the store has not confirmed for this long, may have
     * lost the store; it is confirmed about once a second otherwise.
     */
    private static final long BLIND_READER_MILLIS = 1_300;

    /** Time for this zone's own reader to deliver a change seen at a node of another zone. */
    private static final long READER_GRACE_NANOS = 700_000_000L;

    private final PeerClient client;
    private final Clock clock;
    private final RandomGenerator random;
    private final Executor loop;
    private final ConfigurationInbox inbox;
    private final ActiveConfiguration activeConfiguration;
    private final ServerDirectory directory;
    private final Freshness freshness;
    private final SuspectGossip suspects;
    private final Supplier<Digest> digests;
    private final BooleanSupplier storeFailing;
    private final String ownAddress;
    private final String zone;
    private final Map<String, Long> failedNanos = new HashMap<>();
    private LongConsumer eraListener = era -> {};
    private Consumer<List<EndpointRecord>> recordListener = records -> {};
    private ControlListener controlListener = (control, sameVersion, asked) -> {};
    private boolean behindOtherZone;
    private long behindSinceNanos;
    private boolean pullingConfiguration;
    private boolean pullingServers;
    private final GossipRounds rounds = new GossipRounds();

    /** Whether the zone's reader did not answer, or not with a confirmed state, when asked last. */
    private boolean readerSilent;

    /** The directory's nodes in the order in which they read for the zone, sorted once a change. */
    private List<EndpointRecord> candidates = List.of();

    private List<EndpointRecord> candidatesOf = List.of();

    /**
     * Creates the gossip component.
     *
     * @param loop event loop on which the component runs
     * @param inbox receives the configuration documents of other nodes
     * @param digests supplies the digest of this node's current state
     * @param storeFailing whether the store does not respond to this node
     * @param ownAddress {@code ip:port} at which this node accepts digests
     * @param zone availability zone of this node
     */
    PeerGossip(
            PeerClient client,
            Clock clock,
            RandomGenerator random,
            Executor loop,
            ConfigurationInbox inbox,
            ActiveConfiguration activeConfiguration,
            ServerDirectory directory,
            Freshness freshness,
            SuspectGossip suspects,
            Supplier<Digest> digests,
            BooleanSupplier storeFailing,
            String ownAddress,
            String zone) {
        this.client = client;
        this.clock = clock;
        this.random = random;
        this.loop = loop;
        this.inbox = inbox;
        this.activeConfiguration = activeConfiguration;
        this.directory = directory;
        this.freshness = freshness;
        this.suspects = suspects;
        this.digests = digests;
        this.storeFailing = storeFailing;
        this.ownAddress = ownAddress;
        this.zone = zone;
    }

    /** Sets the action that receives the era of the store that a peer knows, if it is later. */
    void onEra(LongConsumer action) {
        eraListener = action;
    }

    /** Receives what peers answer about keys and the leader. */
    @FunctionalInterface
    interface ControlListener {
        /**
         * Called for each answer of a peer.
         *
         * @param sameVersion whether the peer has this node's configuration
         * @param asked moment at which it was asked
         */
        void heard(ControlDigest control, boolean sameVersion, ClockReading asked);
    }

    /** Sets the listener for what peers answer about keys and the leader. */
    void onControl(ControlListener listener) {
        controlListener = listener;
    }

    /** Sets the action that receives the records in each server list of a peer. */
    void onRecords(Consumer<List<EndpointRecord>> action) {
        recordListener = action;
    }

    /** Returns whether this node is the one that watches the store for its zone. */
    boolean isReader() {
        EndpointRecord reader = reader();
        return reader == null || reader.callAddress().equals(ownAddress);
    }

    /** Returns the node that watches the store for this zone, or null if none is known. */
    private @Nullable EndpointRecord reader() {
        List<EndpointRecord> present = directory.present();
        if (present != candidatesOf) {
            candidatesOf = present;
            candidates = ReaderSelection.candidates(present, zone);
        }
        return ReaderSelection.reader(candidates, this::isFailing);
    }

    private boolean isFailing(EndpointRecord node) {
        if (node.callAddress().equals(ownAddress)) {
            return storeFailing.getAsBoolean();
        }
        Long failed = failedNanos.get(node.callAddress());
        return failed != null && clock.nanos() - failed < FAILING_NANOS;
    }

    /**
     * Returns whether the zone's reader did not answer, or has lost the store, when it was asked
     * last. The node then watches the configuration itself, since other readers may be no better.
     */
    boolean readerSilent() {
        return readerSilent;
    }

    /** Runs one gossip round. */
    void tick() {
        for (GossipRounds.Target target : rounds.next(isReader())) {
            EndpointRecord peer =
                    switch (target) {
                        case READER -> reader();
                        case ZONE_PEER -> randomPeer(other -> other.zone().equals(zone));
                        case REMOTE_PEER -> randomPeer(other -> !other.zone().equals(zone));
                    };
            if (peer != null) {
                exchangeDigests(peer.callAddress());
            }
        }
    }

    private @Nullable EndpointRecord randomPeer(Predicate<EndpointRecord> wanted) {
        List<EndpointRecord> peers =
                directory.present().stream()
                        .filter(peer -> !peer.callAddress().equals(ownAddress))
                        .filter(wanted)
                        .toList();
        return peers.isEmpty() ? null : peers.get(random.nextInt(peers.size()));
    }

    /** Pushes the digest of this node to a few random nodes of the zone. */
    void push() {
        List<EndpointRecord> peers = new ArrayList<>();
        for (EndpointRecord peer : directory.present()) {
            if (peer.zone().equals(zone) && !peer.callAddress().equals(ownAddress)) {
                peers.add(peer);
            }
        }
        Collections.shuffle(peers, new Random(random.nextLong()));
        for (EndpointRecord peer : peers.subList(0, Math.min(PUSH_FANOUT, peers.size()))) {
            exchangeDigests(peer.callAddress());
        }
    }

    private void exchangeDigests(String address) {
        ClockReading asked = ClockReading.of(clock);
        client.request(
                "POST",
                DIGEST_PATH,
                address,
                digests.get().encode(),
                PeerClient.TIMEOUT_MILLIS,
                answer -> onDigestAnswer(answer, address, asked));
    }

    private void onDigestAnswer(@Nullable Answer answer, String address, ClockReading asked) {
        EndpointRecord reader = reader();
        boolean ofReader = reader != null && reader.callAddress().equals(address);
        if (answer == null) {
            readerSilent |= ofReader;
            failedNanos.put(address, clock.nanos());
            return;
        }
        failedNanos.remove(address);
        try {
            Digest theirs = Digest.decode(answer.body());
            if (ofReader) {
                readerSilent = theirs.ageMillis() > BLIND_READER_MILLIS;
            }
            boolean sameVersion = theirs.version() == activeConfiguration.number();
            controlListener.heard(theirs.control(), sameVersion, asked);
            reconcile(theirs, address, true);
        } catch (SidecarException e) {
            log.warn("rejected malformed digest from={} cause=\"{}\"", address, e.getMessage());
        }
    }

    /** Handles a gossip request of another node. */
    void handle(Exchange exchange) {
        switch (exchange.path()) {
            case DIGEST_PATH -> handleDigest(exchange);
            case CONFIGURATION_PATH -> handleConfiguration(exchange);
            case SuspectGossip.PATH -> suspects.handle(exchange);
            case SERVERS_PATH -> exchange.answer(Answer.bytes(OK, Snapshot.of(directory).encode()));
            default -> exchange.answer(Answer.of(NOT_FOUND));
        }
    }

    private void handleDigest(Exchange exchange) {
        byte[] ownDigest = digests.get().encode();
        try {
            Digest theirs = Digest.decode(exchange.body());
            exchange.answer(Answer.bytes(OK, ownDigest));
            for (EndpointRecord record : theirs.own()) {
                reconcile(theirs, record.callAddress(), record.zone().equals(zone));
            }
        } catch (SidecarException e) {
            log.warn("rejected malformed digest cause=\"{}\"", e.getMessage());
            exchange.answer(Answer.of(BAD_REQUEST));
        }
    }

    private void handleConfiguration(Exchange exchange) {
        ActiveConfiguration.Loaded loaded = activeConfiguration.loaded();
        exchange.answer(
                loaded == null
                        ? Answer.of(NOT_FOUND)
                        : Answer.bytes(OK, loaded.document().compressed()));
    }

    private void reconcile(Digest theirs, String address, boolean sameZone) {
        directory.merge(theirs.own());
        if (sameZone && theirs.ageMillis() > STALE_MILLIS) {
            failedNanos.put(address, clock.nanos());
        }
        noteEra(theirs.era());
        suspects.onDigest(theirs.suspects(), address);
        boolean newerVersion = theirs.version() > activeConfiguration.number();
        boolean newerServers = comparable(theirs.era()) && theirs.revision() > directory.revision();
        if (!newerVersion && !newerServers) {
            behindOtherZone &= sameZone;
            if (theirs.version() == activeConfiguration.number()) {
                freshness.recordConfirmation(theirs.ageMillis());
            }
            return;
        }
        if (!sameZone && activeConfiguration.number() > 0 && !behindLongEnough()) {
            return;
        }
        if (newerVersion) {
            pullConfiguration(address);
        }
        if (newerServers) {
            pullServers(address);
        }
    }

    private void noteEra(long era) {
        if (era > directory.era()) {
            eraListener.accept(era);
        }
    }

    /** Nodes of builds that do not know eras, and those that know none yet, send 0. */
    private boolean comparable(long era) {
        return era == directory.era() || era == 0;
    }

    private boolean behindLongEnough() {
        if (!behindOtherZone) {
            behindOtherZone = true;
            behindSinceNanos = clock.nanos();
        }
        return clock.nanos() - behindSinceNanos >= READER_GRACE_NANOS;
    }

    private void pullConfiguration(String address) {
        if (pullingConfiguration) {
            return;
        }
        pullingConfiguration = true;
        client.request(
                "GET",
                CONFIGURATION_PATH,
                address,
                new byte[0],
                BODY_TIMEOUT_MILLIS,
                answer -> {
                    if (answer == null) {
                        pullingConfiguration = false;
                        return;
                    }
                    // The next one is pulled when this one has been read, and is the newest then.
                    inbox.add(
                            ConfigurationDocument.compressed(
                                    answer.body(), "peer " + address, clock.nanos()),
                            () -> loop.execute(() -> pullingConfiguration = false));
                });
    }

    private void pullServers(String address) {
        if (pullingServers) {
            return;
        }
        pullingServers = true;
        client.request(
                "GET",
                SERVERS_PATH,
                address,
                new byte[0],
                BODY_TIMEOUT_MILLIS,
                answer -> {
                    pullingServers = false;
                    if (answer != null) {
                        mergeServers(answer.body(), address);
                    }
                });
    }

    private void mergeServers(byte[] body, String address) {
        try {
            Snapshot snapshot = Snapshot.decode(body);
            noteEra(snapshot.era());
            if (!comparable(snapshot.era())) {
                return;
            }
            boolean newer = snapshot.revision() > directory.revision();
            directory.replaceStored(snapshot.records(), snapshot.revision());
            recordListener.accept(snapshot.records());
            if (newer) {
                push();
            }
        } catch (SidecarException e) {
            log.warn(
                    "rejected malformed server list from={} cause=\"{}\"", address, e.getMessage());
        }
    }
}
