package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.RateLimit;
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
 * Forwards calls to the owner nodes of other backend servers and detects failed nodes. A node that
 * has calls in flight but has not answered for a while is probed. If the probe fails, or if no
 * connection can be opened for a call, the node is suspected until it answers again: it receives no
 * new calls, and its calls in flight are notified, so that idempotent ones can be retried
 * elsewhere.
 */
public final class PeerSender {
    /** Path on which a node answers probes. */
    public static final String ALIVE_PATH = "/alive";

    private static final int OK = 200;

    /**
     * Connect timeout. A connection to another zone takes about 10 ms, but a second if a packet is
     * lost.
     */
    private static final int CONNECT_MILLIS = 150;

    /** Longest idle time after which a connection to a node is reused. */
    private static final int MAX_IDLE_MILLIS = 6_000;

    /** Extra time beyond the deadline for the answer of the owner node. */
    private static final long ANSWER_GRACE_MILLIS = 150;

    /** A node with calls in flight is probed after this time without an answer. */
    private static final long PROBE_AFTER_SILENCE_NANOS = 350_000_000L;

    private static final int PROBE_TIMEOUT_MILLIS = 350;

    /** Interval between probes of a suspected node. */
    private static final long SUSPECT_PROBE_INTERVAL_NANOS = 500_000_000L;

    private final PooledHttpClient client;
    private final HeaderNames names;
    private final Clock clock;
    private final CallCounters counters;
    private final Map<String, Peer> peers = new HashMap<>();

    /** Creates a sender that uses the connections of {@code client}. */
    public PeerSender(
            PooledHttpClient client, HeaderNames names, Clock clock, CallCounters counters) {
        this.client = client;
        this.names = names;
        this.clock = clock;
        this.counters = counters;
    }

    private static OutboundRequest probe() {
        return new OutboundRequest(
                "GET",
                ALIVE_PATH,
                new DefaultHttpHeaders(),
                new byte[0],
                PROBE_TIMEOUT_MILLIS,
                PROBE_TIMEOUT_MILLIS,
                0,
                "");
    }

    /** Returns whether the node at an address is suspected to have failed. */
    boolean suspected(String callAddress) {
        Peer peer = peers.get(callAddress);
        return peer != null && peer.suspected;
    }

    /** Sends a job to the owner node of a server; the job ends with a result unless cancelled. */
    void send(OwnerJob job, EndpointRecord server) {
        Peer peer = peers.computeIfAbsent(server.callAddress(), Peer::new);
        PendingCall pending = new PendingCall(job, peer);
        peer.pendingCalls.add(pending);
        pending.sending = client.send(peer.address, request(job), pending);
        job.onCancel(pending::cancel);
    }

    private OutboundRequest request(OwnerJob job) {
        Exchange exchange = job.exchange();
        long nowNanos = clock.nanos();
        long leftMillis = Math.max(1, (job.deadlineNanos() - nowNanos) / 1_000_000L);
        HttpHeaders headers = HopHeaders.withKnownNames();
        HopHeaders.copyEndToEnd(exchange.headers(), headers);
        headers.set(names.deadlineMillis(), leftMillis);
        headers.set(HopHeaders.OWNER_HOP, job.serverId());
        headers.set(HopHeaders.RANK, job.rankOrder());
        headers.set(HopHeaders.ROUTE, job.routeName());
        headers.set(HopHeaders.ROUTE_TARGET, job.routeTargetMillis());
        headers.set(HopHeaders.TARGET, (job.targetNanos() - nowNanos) / 1_000_000L);
        if (job.knownLimitPerSecond() != RateLimit.NONE) {
            headers.set(HopHeaders.KNOWN_LIMIT, job.knownLimitPerSecond());
        }
        if (job.firstPlacement()) {
            headers.set(HopHeaders.FIRST_PLACEMENT, "1");
        }
        SuspectHeader.write(headers, job.knownSuspect());
        headers.set(HttpHeaderNames.CONNECTION, "keep-alive");
        return new OutboundRequest(
                exchange.method(),
                exchange.target(),
                headers,
                exchange.body(),
                leftMillis + ANSWER_GRACE_MILLIS,
                CONNECT_MILLIS,
                MAX_IDLE_MILLIS,
                "");
    }

    /** Probes silent nodes; to be called about ten times a second. */
    public void probeSilentNodes() {
        long nowNanos = clock.nanos();
        for (Peer peer : List.copyOf(peers.values())) {
            peer.check(nowNanos);
        }
        peers.values().removeIf(peer -> peer.pendingCalls.isEmpty() && !peer.suspected);
    }

    private final class Peer {
        private final InetSocketAddress address;
        private final Set<PendingCall> pendingCalls = new HashSet<>();
        private long lastAnswerNanos = clock.nanos();
        private long probedNanos = clock.nanos() - SUSPECT_PROBE_INTERVAL_NANOS;
        private boolean probing;
        private boolean suspected;
        private int failedProbes;

        Peer(String callAddress) {
            address = Addresses.parse(callAddress);
        }

        void markAlive() {
            lastAnswerNanos = clock.nanos();
            suspected = false;
            failedProbes = 0;
        }

        void check(long nowNanos) {
            boolean silent =
                    !pendingCalls.isEmpty()
                            && nowNanos - lastAnswerNanos > PROBE_AFTER_SILENCE_NANOS;
            boolean due = nowNanos - probedNanos > SUSPECT_PROBE_INTERVAL_NANOS;
            if (probing || !(suspected ? due : silent)) {
                return;
            }
            probing = true;
            probedNanos = nowNanos;
            client.send(address, probe(), new Probe(this));
        }

        void suspect() {
            if (!suspected) {
                suspected = true;
                counters.increment("peers_suspected");
                client.closeIdleConnections(address);
            }
            for (PendingCall pending : new ArrayList<>(pendingCalls)) {
                pending.job.probeFailed(failedProbes);
            }
        }
    }

    private final class Probe implements ResponseListener {
        private final Peer peer;
        private final long probedNanos = clock.nanos();

        Probe(Peer peer) {
            this.peer = peer;
        }

        @Override
        public void onResponse(Answer answer) {
            if (answer.status() == OK) {
                peer.probing = false;
                peer.markAlive();
            } else {
                failed();
            }
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            failed();
        }

        private void failed() {
            peer.probing = false;
            if (peer.lastAnswerNanos - probedNanos <= 0) {
                peer.failedProbes++;
                peer.suspect();
            }
        }
    }

    private final class PendingCall implements ResponseListener {
        private final OwnerJob job;
        private final Peer peer;
        private PooledHttpClient.Sending sending = () -> {};

        PendingCall(OwnerJob job, Peer peer) {
            this.job = job;
            this.peer = peer;
        }

        void cancel() {
            peer.pendingCalls.remove(this);
            sending.cancel();
        }

        @Override
        public void onResponse(Answer answer) {
            peer.pendingCalls.remove(this);
            peer.markAlive();
            job.end(PeerCalls.decode(answer));
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            peer.pendingCalls.remove(this);
            if (failure == SendFailure.NOT_SENT) {
                if (reason.equals(PooledHttpClient.CONNECT_FAILED)) {
                    peer.suspect();
                }
                job.end(OwnerResult.notRun("peer-unreachable", null));
            } else {
                job.end(OwnerResult.unknown("peer-" + reason, null));
            }
        }
    }
}
