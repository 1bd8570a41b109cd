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
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Compares notes with other nodes: a node that the store does not reach learns from its peers, and
 * a node that starts while the store is away is called by those that know its address.
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
    private static final int BODY_TIMEOUT_MILLIS = 1_500;
    private static final int MAX_IDLE_MILLIS = 6_000;

    /** Every so many rounds a node of another zone is asked, since bytes between zones are dear. */
    private static final int ROUNDS_PER_REMOTE = 6;

    /** The store is given this long to bring what a peer already has. */
    private static final long STORE_FIRST_NANOS = 700_000_000L;

    private final HttpSender sender;
    private final Clock clock;
    private final RandomGenerator random;
    private final Versions versions;
    private final ServerDirectory directory;
    private final Supplier<Digest> digests;
    private final Supplier<String> ownAddress;
    private final String zone;
    private final Consumer<String> behind;
    private long behindSinceNanos;
    private boolean wasBehind;
    private boolean pulling;
    private int round;

    /**
     * Creates the gossip.
     *
     * @param behind called with the reason when a peer has had news for a while that the store has
     *     not brought
     */
    PeerGossip(
            HttpSender sender,
            Clock clock,
            RandomGenerator random,
            Versions versions,
            ServerDirectory directory,
            Supplier<Digest> digests,
            Supplier<String> ownAddress,
            String zone,
            Consumer<String> behind) {
        this.sender = sender;
        this.clock = clock;
        this.random = random;
        this.versions = versions;
        this.directory = directory;
        this.digests = digests;
        this.ownAddress = ownAddress;
        this.zone = zone;
        this.behind = behind;
    }

    /** Asks one peer. */
    void tick() {
        round++;
        boolean remote = round % ROUNDS_PER_REMOTE == 0;
        List<EndpointRecord> peers =
                directory.present().stream()
                        .filter(r -> !r.callAddress().equals(ownAddress.get()))
                        .filter(r -> r.zone().equals(zone) != remote)
                        .toList();
        if (!peers.isEmpty()) {
            exchange(peers.get(random.nextInt(peers.size())).callAddress());
        }
    }

    private void exchange(String address) {
        request(
                "POST",
                DIGEST,
                address,
                digests.get().encode(),
                TIMEOUT_MILLIS,
                answer -> compare(answer.body(), address));
    }

    /** Answers a request of another node. */
    void handle(Exchange exchange) {
        switch (exchange.path()) {
            case DIGEST -> digest(exchange);
            case CONFIGURATION -> configuration(exchange);
            case SERVERS ->
                    exchange.answer(Answer.bytes(OK, RecordCodec.encode(directory.records())));
            default -> exchange.answer(Answer.of(NOT_FOUND));
        }
    }

    private void digest(Exchange exchange) {
        byte[] own = digests.get().encode();
        try {
            Digest theirs = Digest.decode(exchange.body());
            exchange.answer(Answer.bytes(OK, own));
            for (EndpointRecord record : theirs.own()) {
                compare(theirs, record.callAddress());
            }
        } catch (SidecarException e) {
            log.warn("refused a digest cause=\"{}\"", e.getMessage());
            exchange.answer(Answer.of(BAD_REQUEST));
        }
    }

    private void configuration(Exchange exchange) {
        Versions.Held held = versions.held();
        exchange.answer(held == null ? Answer.of(NOT_FOUND) : Answer.bytes(OK, held.bytes()));
    }

    private void compare(byte[] body, String address) {
        try {
            compare(Digest.decode(body), address);
        } catch (SidecarException e) {
            log.warn("refused a digest from={} cause=\"{}\"", address, e.getMessage());
        }
    }

    private void compare(Digest theirs, String address) {
        directory.merge(theirs.own());
        Digest own = digests.get();
        boolean newerVersion = theirs.version() > own.version();
        boolean newerServers = theirs.revision() > own.revision();
        if (!newerVersion && !newerServers) {
            wasBehind = false;
            return;
        }
        long nowNanos = clock.nanos();
        if (!wasBehind) {
            wasBehind = true;
            behindSinceNanos = nowNanos;
        }
        boolean blank = newerVersion && own.version() == 0;
        if (!blank && nowNanos - behindSinceNanos < STORE_FIRST_NANOS) {
            return;
        }
        behind.accept(newerVersion ? "version" : "servers");
        pull(newerVersion, newerServers, address);
    }

    private void pull(boolean newerVersion, boolean newerServers, String address) {
        if (pulling) {
            return;
        }
        byte[] nothing = new byte[0];
        if (newerVersion) {
            pulling = true;
            request(
                    "GET",
                    CONFIGURATION,
                    address,
                    nothing,
                    BODY_TIMEOUT_MILLIS,
                    answer -> versions.offer(answer.body(), "peer " + address));
        }
        if (newerServers) {
            request(
                    "GET",
                    SERVERS,
                    address,
                    nothing,
                    BODY_TIMEOUT_MILLIS,
                    answer -> mergeServers(answer.body(), address));
        }
    }

    private void mergeServers(byte[] body, String address) {
        try {
            directory.merge(RecordCodec.decode(body));
        } catch (SidecarException e) {
            log.warn("refused servers from={} cause=\"{}\"", address, e.getMessage());
        }
    }

    private void request(
            String method,
            String path,
            String address,
            byte[] body,
            int timeoutMillis,
            Consumer<Answer> answers) {
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
                        pulling &= path.equals(DIGEST);
                        if (answer.status() == OK) {
                            answers.accept(answer);
                        }
                    }

                    @Override
                    public void failed(SendFailure failure, String reason) {
                        pulling &= path.equals(DIGEST);
                        log.debug(
                                "peer did not answer address={} path={} failure={}",
                                address,
                                path,
                                failure.name().toLowerCase(Locale.ROOT));
                    }
                });
    }
}
