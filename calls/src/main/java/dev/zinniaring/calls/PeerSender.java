package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sends calls to the nodes beside other backend servers, and detects nodes that fail. A node that
 * is silent while it has calls is probed; if the probe fails it is suspected, and the calls that
 * may be repeated are given up.
 */
public final class PeerSender {
    /** Path at which a node answers probes. */
    public static final String ALIVE_PATH = "/alive";

    /**
     * A new connection to a node of another zone takes some 10 ms; a lost packet costs a second.
     */
    private static final int CONNECT_MILLIS = 150;

    /** Kept connections to nodes are used if they were idle for at most this long. */
    private static final int MAX_IDLE_MILLIS = 6_000;

    private static final long ANSWER_GRACE_MILLIS = 150;

    /** A node with calls that has not been heard for this long is probed. */
    private static final long QUIET_NANOS = 350_000_000L;

    private static final int PROBE_TIMEOUT_MILLIS = 350;

    /** A suspected node is probed this often. */
    private static final long SUSPECT_PERIOD_NANOS = 500_000_000L;

    private final HttpSender sender;
    private final HeaderNames names;
    private final Clock clock;
    private final CallCounters counters;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Outbound probe = probe(new DefaultHttpHeaders());

    /** Creates a sender of calls. */
    public PeerSender(HttpSender sender, HeaderNames names, Clock clock, CallCounters counters) {
        this.sender = sender;
        this.names = names;
        this.clock = clock;
        this.counters = counters;
    }

    private static Outbound probe(HttpHeaders headers) {
        return new Outbound(
                "GET",
                ALIVE_PATH,
                headers,
                new byte[0],
                PROBE_TIMEOUT_MILLIS,
                PROBE_TIMEOUT_MILLIS,
                0,
                "");
    }

    /** Returns whether a node has not answered for a while. */
    boolean suspected(String callAddress) {
        Peer peer = peers.get(callAddress);
        return peer != null && peer.suspected;
    }

    /** Sends a job to the node beside a server; the job ends with a result. */
    void send(OwnerJob job, EndpointRecord server) {
        Peer peer = peers.computeIfAbsent(server.callAddress(), Peer::new);
        Flight flight = new Flight(job, peer);
        peer.flights.add(flight);
        flight.sending = sender.send(peer.address, request(job), flight);
        job.onCancel(flight::cancel);
    }

    private Outbound request(OwnerJob job) {
        Exchange exchange = job.exchange();
        long nowNanos = clock.nanos();
        long leftMillis = Math.max(1, (job.deadlineNanos() - nowNanos) / 1_000_000L);
        HttpHeaders headers = new DefaultHttpHeaders();
        HopHeaders.copyEndToEnd(exchange.headers(), headers);
        headers.set(names.deadlineMillis(), leftMillis);
        headers.set(HopHeaders.OWNER_HOP, job.serverId());
        headers.set(HopHeaders.RANK, job.rankOrder());
        headers.set(HopHeaders.ROUTE, job.routeName());
        headers.set(HopHeaders.ROUTE_TARGET, job.routeTargetMillis());
        headers.set(HopHeaders.TARGET, (job.targetNanos() - nowNanos) / 1_000_000L);
        headers.set(HttpHeaderNames.CONNECTION, "keep-alive");
        return new Outbound(
                exchange.method(),
                exchange.target(),
                headers,
                exchange.body(),
                leftMillis + ANSWER_GRACE_MILLIS,
                CONNECT_MILLIS,
                MAX_IDLE_MILLIS,
                "");
    }

    /** Probes quiet nodes; to be called some ten times a second. */
    public void sweep() {
        long nowNanos = clock.nanos();
        for (Peer peer : List.copyOf(peers.values())) {
            peer.check(nowNanos);
        }
        peers.values().removeIf(peer -> peer.flights.isEmpty() && !peer.suspected);
    }

    private final class Peer {
        private final InetSocketAddress address;
        private final Set<Flight> flights = new HashSet<>();
        private long heardNanos = clock.nanos();
        private long probedNanos = clock.nanos() - SUSPECT_PERIOD_NANOS;
        private boolean probing;
        private boolean suspected;
        private int failedProbes;

        Peer(String callAddress) {
            address = Addresses.parse(callAddress);
        }

        void heard() {
            heardNanos = clock.nanos();
            suspected = false;
            failedProbes = 0;
        }

        void check(long nowNanos) {
            boolean quiet = !flights.isEmpty() && nowNanos - heardNanos > QUIET_NANOS;
            boolean due = nowNanos - probedNanos > SUSPECT_PERIOD_NANOS;
            if (probing || !(suspected ? due : quiet)) {
                return;
            }
            probing = true;
            probedNanos = nowNanos;
            sender.send(address, probe, new Probe(this));
        }

        void suspect() {
            if (!suspected) {
                suspected = true;
                counters.increment("peers_suspected");
                sender.forget(address);
            }
            for (Flight flight : new ArrayList<>(flights)) {
                flight.job.suspected(failedProbes);
            }
        }
    }

    private final class Probe implements SendListener {
        private final Peer peer;
        private final long probedNanos = clock.nanos();

        Probe(Peer peer) {
            this.peer = peer;
        }

        @Override
        public void answered(Answer answer) {
            peer.probing = false;
            peer.heard();
        }

        @Override
        public void failed(SendFailure failure, String reason) {
            peer.probing = false;
            if (peer.heardNanos - probedNanos <= 0) {
                peer.failedProbes++;
                peer.suspect();
            }
        }
    }

    private final class Flight implements SendListener {
        private final OwnerJob job;
        private final Peer peer;
        private HttpSender.Sending sending = () -> {};

        Flight(OwnerJob job, Peer peer) {
            this.job = job;
            this.peer = peer;
        }

        void cancel() {
            peer.flights.remove(this);
            sending.cancel();
        }

        @Override
        public void answered(Answer answer) {
            peer.flights.remove(this);
            peer.heard();
            job.end(PeerCalls.decode(answer));
        }

        @Override
        public void failed(SendFailure failure, String reason) {
            peer.flights.remove(this);
            if (failure == SendFailure.NOT_SENT) {
                if (reason.equals(HttpSender.CONNECT_FAILED)) {
                    peer.suspect();
                }
                job.end(OwnerResult.notRun("peer-unreachable", null));
            } else {
                job.end(OwnerResult.unknown("peer-" + reason, null));
            }
        }
    }
}
