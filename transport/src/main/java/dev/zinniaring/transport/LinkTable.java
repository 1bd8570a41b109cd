package dev.zinniaring.transport;

import dev.zinniaring.kernel.TokenBucket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The links of one network: opens, accepts, finds and replaces them. Used by the I/O thread. */
final class LinkTable {
    private static final Logger log = LoggerFactory.getLogger(LinkTable.class);
    private static final long ACCEPT_PAUSE_NANOS = 100_000_000L;

    private final LinkContext context;
    private final TokenBucket accepts;
    private final Set<Link> links = new LinkedHashSet<>();
    private final Map<InetSocketAddress, Link> opening = new HashMap<>();
    private final Map<String, Link> open = new HashMap<>();
    private final Map<InetSocketAddress, Attempts> attempts = new HashMap<>();
    private boolean closed;

    /** The failed connects to an address. */
    private static final class Attempts {
        private final BackOff backOff;
        private long notBeforeNanos;

        Attempts(BackOff backOff) {
            this.backOff = backOff;
        }
    }

    LinkTable(LinkContext context) {
        this.context = context;
        this.accepts =
                new TokenBucket(
                        context.clock(),
                        context.limits().acceptsPerSecond(),
                        context.limits().acceptBurst());
    }

    void send(Peer to, OutFrame frame) {
        Link link = open.get(to.nodeId());
        boolean found = link != null && leadsTo(link, to.controlAddress());
        Link chosen = found ? link : opening(to.controlAddress(), to);
        if (chosen != null) {
            chosen.send(frame);
        }
    }

    void send(InetSocketAddress to, OutFrame frame) {
        for (Link link : open.values()) {
            if (leadsTo(link, to)) {
                link.send(frame);
                return;
            }
        }
        Link link = opening(to, null);
        if (link != null) {
            link.send(frame);
        }
    }

    /** Accepts the connections that wait, within the rate and the limit of links. */
    void accept(SelectionKey key) {
        ServerSocketChannel server = (ServerSocketChannel) key.channel();
        try {
            SocketChannel channel = server.accept();
            while (channel != null) {
                admit(channel);
                channel = server.accept();
            }
        } catch (IOException e) {
            // Out of file descriptors, for instance; the socket stays ready, so wait a little.
            log.warn("accepting a link failed", e);
            key.interestOps(0);
            context.later(ACCEPT_PAUSE_NANOS, () -> resumeAccepting(key));
        }
    }

    /** Returns whether a greeting comes from an earlier life of a connected peer or from itself. */
    boolean isOutdated(Hello hello) {
        Link present = open.get(hello.peer().nodeId());
        boolean older = present != null && present.incarnation() > hello.incarnation();
        return older || hello.peer().nodeId().equals(context.hello().peer().nodeId());
    }

    void opened(Link link, Hello hello) {
        if (link.target() != null) {
            opening.remove(link.target(), link);
            attempts.remove(link.target());
        }
        String nodeId = hello.peer().nodeId();
        Link present = open.get(nodeId);
        if (present != null && present.incarnation() == hello.incarnation()) {
            return;
        }
        open.put(nodeId, link);
        if (present != null) {
            present.close(null);
        }
    }

    void closed(Link link, Link.Phase before) {
        links.remove(link);
        InetSocketAddress target = link.target();
        if (target != null) {
            opening.remove(target, link);
            if (before != Link.Phase.OPEN) {
                backOff(target);
            }
        }
        Peer peer = link.peer();
        if (peer != null && open.remove(peer.nodeId(), link)) {
            links.stream()
                    .filter(other -> isSameLife(other, link))
                    .findFirst()
                    .ifPresent(other -> open.put(peer.nodeId(), other));
        }
    }

    /** Closes links whose deadlines have passed and forgets old failures. */
    void sweep() {
        for (Link link : List.copyOf(links)) {
            link.sweep();
        }
        long now = context.clock().nanos();
        long keepNanos = 2 * context.limits().backOffMax().toNanos();
        attempts.values().removeIf(a -> now - a.notBeforeNanos > keepNanos);
    }

    void close() {
        closed = true;
        for (Link link : List.copyOf(links)) {
            link.close(null);
        }
    }

    List<TransportState.LinkState> state() {
        List<TransportState.LinkState> states = new ArrayList<>();
        links.forEach(link -> states.add(link.state()));
        return states;
    }

    private static void resumeAccepting(SelectionKey key) {
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    private @Nullable Link opening(InetSocketAddress address, @Nullable Peer expected) {
        Link present = opening.get(address);
        if (present != null && present.mayLeadTo(expected)) {
            if (expected != null) {
                present.expect(expected);
            }
            return present;
        }
        if (present != null) {
            present.close(TransportFault.WRONG_PEER);
        }
        if (closed || links.size() >= context.limits().maxLinks()) {
            context.counters().fault(TransportFault.UNSENT);
            return null;
        }
        Link link = Link.to(context, this, address, expected);
        links.add(link);
        opening.put(address, link);
        begin(link, address);
        return link;
    }

    private void begin(Link link, InetSocketAddress address) {
        Attempts failed = attempts.get(address);
        long waitNanos = failed == null ? 0 : failed.notBeforeNanos - context.clock().nanos();
        if (waitNanos > 0) {
            context.later(waitNanos, link::connect);
        } else {
            // Not at once, because a connect that fails at once would close the link while its
            // first frame is being queued.
            context.loop().execute(link::connect);
        }
    }

    private void admit(SocketChannel channel) throws IOException {
        // A part is kept for links that this node opens, however many strangers connect.
        int maxLinks = context.limits().maxLinks();
        boolean room = links.size() < maxLinks - maxLinks / 4;
        if (closed || !room || !accepts.take()) {
            context.counters().fault(TransportFault.ACCEPT_REFUSED);
            channel.close();
            return;
        }
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            links.add(Link.accepted(context, this, channel));
        } catch (IOException e) {
            log.debug("accepted link failed at once", e);
            channel.close();
        }
    }

    private void backOff(InetSocketAddress address) {
        TransportLimits limits = context.limits();
        Attempts failed =
                attempts.computeIfAbsent(
                        address,
                        a ->
                                new Attempts(
                                        new BackOff(
                                                limits.backOffFirst(),
                                                limits.backOffMax(),
                                                context.random())));
        failed.notBeforeNanos = context.clock().nanos() + failed.backOff.next().toNanos();
    }

    private static boolean leadsTo(Link link, InetSocketAddress address) {
        Peer peer = link.peer();
        return peer != null && peer.controlAddress().equals(address);
    }

    private static boolean isSameLife(Link link, Link other) {
        Peer peer = link.peer();
        Peer otherPeer = other.peer();
        return link.phase() == Link.Phase.OPEN
                && peer != null
                && otherPeer != null
                && peer.nodeId().equals(otherPeer.nodeId())
                && link.incarnation() == other.incarnation();
    }
}
