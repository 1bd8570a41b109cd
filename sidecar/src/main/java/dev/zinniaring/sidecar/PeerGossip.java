package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Addresses;
import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.Exchange;
import dev.zinniaring.calls.HttpSender;
import dev.zinniaring.calls.Outbound;
import dev.zinniaring.calls.SendFailure;
import dev.zinniaring.calls.SendListener;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges digests with other nodes. Changes spread inside an availability zone by pushes to a few
 * nodes, which push on, and by a question to the zone's reader twice a second. A node that the
 * store does not reach learns from its peers in this way, and a node that starts while the store is
 * away is called by those that know its address.
 */
final class PeerGossip {
    static final String DIGEST = "/peer/digest";
    static final String CONFIGURATION = "/peer/configuration";
    static final String SERVERS = "/peer/servers";

    private static final Logger log = LoggerFactory.getLogger("peers");
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int TIMEOUT_MILLIS = 400;
    private static final int BODY_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_IDLE_MILLIS = 6_000;

    /** Nodes of the zone that are told of news at once; they tell as many others. */
    private static final int PUSHES = 3;

    /** Every so many rounds another node is asked: one of the zone, or one of another zone. */
    private static final int ROUNDS_PER_OTHER = 3;

    private static final int ROUNDS_PER_REMOTE = 8;

    /** A node that did not answer is not asked to read for the zone for this long. */
    private static final long FAILING_NANOS = 2_000_000_000L;

    /** A node that has not heard the store for this long does not read for the zone. */
    private static final long STALE_MILLIS = 2_500;

    /** A zone's own reader is given this long to bring what a node of another zone has. */
    private static final long READER_FIRST_NANOS = 700_000_000L;

    private final HttpSender sender;
    private final Clock clock;
    private final RandomGenerator random;
    private final Executor reading;
    private final Versions versions;
    private final ServerDirectory directory;
    private final Freshness freshness;
    private final Supplier<Digest> digests;
    private final BooleanSupplier storeFailing;
    private final String ownAddress;
    private final String zone;
    private final Map<String, Long> failedNanos = new HashMap<>();
    private boolean behindRemote;
    private long behindSinceNanos;
    private boolean pullingConfiguration;
    private boolean pullingServers;
    private int round;

    /**
     * Creates the gossip.
     *
     * @param reading runs what takes long
     * @param storeFailing whether the store does not answer this node
     * @param ownAddress {@code ip:port} at which this node takes digests
     */
    PeerGossip(
            HttpSender sender,
            Clock clock,
            RandomGenerator random,
            Executor reading,
            Versions versions,
            ServerDirectory directory,
            Freshness freshness,
            Supplier<Digest> digests,
            BooleanSupplier storeFailing,
            String ownAddress,
            String zone) {
        this.sender = sender;
        this.clock = clock;
        this.random = random;
        this.reading = reading;
        this.versions = versions;
        this.directory = directory;
        this.freshness = freshness;
        this.digests = digests;
        this.storeFailing = storeFailing;
        this.ownAddress = ownAddress;
        this.zone = zone;
    }

    /** Returns whether this node is the one of its zone that follows the store. */
    boolean reader() {
        List<EndpointRecord> order = readers();
        return order.isEmpty() || order.get(0).callAddress().equals(ownAddress);
    }

    private List<EndpointRecord> readers() {
        return ReaderChoice.order(directory.present(), zone, this::failing);
    }

    private boolean failing(EndpointRecord node) {
        if (node.callAddress().equals(ownAddress)) {
            return storeFailing.getAsBoolean();
        }
        Long failed = failedNanos.get(node.callAddress());
        return failed != null && clock.nanos() - failed < FAILING_NANOS;
    }

    /** Asks one peer. */
    void tick() {
        round++;
        EndpointRecord peer = null;
        if (round % ROUNDS_PER_REMOTE == 0) {
            peer = any(other -> !other.zone().equals(zone));
        } else if (round % ROUNDS_PER_OTHER == 0) {
            peer = any(other -> other.zone().equals(zone));
        } else if (!reader()) {
            peer = readers().get(0);
        }
        if (peer != null) {
            exchange(peer.callAddress());
        }
    }

    private @Nullable EndpointRecord any(Predicate<EndpointRecord> wanted) {
        List<EndpointRecord> peers =
                directory.present().stream()
                        .filter(peer -> !peer.callAddress().equals(ownAddress))
                        .filter(wanted)
                        .toList();
        return peers.isEmpty() ? null : peers.get(random.nextInt(peers.size()));
    }

    /** Tells a few nodes of the zone that there is news. */
    void push() {
        List<EndpointRecord> peers = new ArrayList<>();
        for (EndpointRecord peer : directory.present()) {
            if (peer.zone().equals(zone) && !peer.callAddress().equals(ownAddress)) {
                peers.add(peer);
            }
        }
        Collections.shuffle(peers, new Random(random.nextLong()));
        for (EndpointRecord peer : peers.subList(0, Math.min(PUSHES, peers.size()))) {
            exchange(peer.callAddress());
        }
    }

    private void exchange(String address) {
        request(
                "POST",
                DIGEST,
                address,
                digests.get().encode(),
                TIMEOUT_MILLIS,
                answer -> answered(answer, address));
    }

    private void answered(@Nullable Answer answer, String address) {
        if (answer == null) {
            failedNanos.put(address, clock.nanos());
            return;
        }
        failedNanos.remove(address);
        try {
            compare(Digest.decode(answer.body()), address, true);
        } catch (SidecarException e) {
            log.warn("refused a digest from={} cause=\"{}\"", address, e.getMessage());
        }
    }

    /** Answers a request of another node. */
    void handle(Exchange exchange) {
        switch (exchange.path()) {
            case DIGEST -> digest(exchange);
            case CONFIGURATION -> configuration(exchange);
            case SERVERS -> exchange.answer(Answer.bytes(OK, Snapshot.of(directory).encode()));
            default -> exchange.answer(Answer.of(NOT_FOUND));
        }
    }

    private void digest(Exchange exchange) {
        byte[] own = digests.get().encode();
        try {
            Digest theirs = Digest.decode(exchange.body());
            exchange.answer(Answer.bytes(OK, own));
            for (EndpointRecord record : theirs.own()) {
                compare(theirs, record.callAddress(), record.zone().equals(zone));
            }
        } catch (SidecarException e) {
            log.warn("refused a digest cause=\"{}\"", e.getMessage());
            exchange.answer(Answer.of(BAD_REQUEST));
        }
    }

    private void configuration(Exchange exchange) {
        Versions.Held held = versions.held();
        exchange.answer(held == null ? Answer.of(NOT_FOUND) : Answer.bytes(OK, held.compressed()));
    }

    private void compare(Digest theirs, String address, boolean sameZone) {
        directory.merge(theirs.own());
        if (sameZone && theirs.ageMillis() > STALE_MILLIS) {
            failedNanos.put(address, clock.nanos());
        }
        boolean newerVersion = theirs.version() > versions.number();
        boolean newerServers = theirs.revision() > directory.revision();
        if (!newerVersion && !newerServers) {
            behindRemote &= sameZone;
            if (theirs.version() == versions.number()) {
                freshness.confirmed(theirs.ageMillis());
            }
            return;
        }
        if (!sameZone && versions.number() > 0 && !behindLongEnough()) {
            return;
        }
        if (newerVersion) {
            pullConfiguration(address);
        }
        if (newerServers) {
            pullServers(address);
        }
    }

    private boolean behindLongEnough() {
        if (!behindRemote) {
            behindRemote = true;
            behindSinceNanos = clock.nanos();
        }
        return clock.nanos() - behindSinceNanos >= READER_FIRST_NANOS;
    }

    private void pullConfiguration(String address) {
        if (pullingConfiguration) {
            return;
        }
        pullingConfiguration = true;
        request(
                "GET",
                CONFIGURATION,
                address,
                new byte[0],
                BODY_TIMEOUT_MILLIS,
                answer -> {
                    pullingConfiguration = false;
                    if (answer != null) {
                        reading.execute(() -> offer(answer.body(), address));
                    }
                });
    }

    private void offer(byte[] compressed, String address) {
        try {
            versions.offer(Compression.decompress(compressed), "peer " + address);
        } catch (SidecarException e) {
            log.warn("refused a document from={} cause=\"{}\"", address, e.getMessage());
        }
    }

    private void pullServers(String address) {
        if (pullingServers) {
            return;
        }
        pullingServers = true;
        request(
                "GET",
                SERVERS,
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
            boolean news = snapshot.revision() > directory.revision();
            directory.replaceStored(snapshot.records(), snapshot.revision());
            if (news) {
                push();
            }
        } catch (SidecarException e) {
            log.warn("refused servers from={} cause=\"{}\"", address, e.getMessage());
        }
    }

    /** Sends a request; the answer is null unless it has status 200. */
    private void request(
            String method,
            String path,
            String address,
            byte[] body,
            int timeoutMillis,
            Consumer<@Nullable Answer> answers) {
        Outbound outbound =
                new Outbound(
                        method,
                        path,
                        new DefaultHttpHeaders(),
                        body,
                        timeoutMillis,
                        TIMEOUT_MILLIS,
                        MAX_IDLE_MILLIS,
                        "");
        sender.send(
                Addresses.parse(address),
                outbound,
                new SendListener() {
                    @Override
                    public void answered(Answer answer) {
                        answers.accept(answer.status() == OK ? answer : null);
                    }

                    @Override
                    public void failed(SendFailure failure, String reason) {
                        log.debug("peer did not answer address={} path={}", address, path);
                        answers.accept(null);
                    }
                });
    }
}
