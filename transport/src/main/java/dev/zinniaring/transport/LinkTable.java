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

/**
 * The links of one network: opens, accepts, finds and replaces them. Confined to the I/O thread.
 */
final class LinkTable {
    private static final Logger log = LoggerFactory.getLogger(LinkTable.class);
    private static final long ACCEPT_PAUSE_NANOS = 100_000_000L;

    private final LinkContext context;
    private final TokenBucket acceptRate;
    private final Set<Link> links = new LinkedHashSet<>();
    private final Map<InetSocketAddress, Link> openingByAddress = new HashMap<>();
    private final Map<String, Link> openByNodeId = new HashMap<>();
    private final Map<InetSocketAddress, FailedConnects> failedConnects = new HashMap<>();
    private boolean closed;

    /** Back-off state of an address to which connects have failed. */
    private static final class FailedConnects {
        private final FullJitterBackOff backOff;
        private long notBeforeNanos;

        FailedConnects(FullJitterBackOff backOff) {
            this.backOff = backOff;
        }
    }

    LinkTable(LinkContext context) {
        this.context = context;
        this.acceptRate =
                new TokenBucket(
                        context.clock(),
                        context.limits().acceptsPerSecond(),
                        context.limits().acceptBurst());
    }

    void send(Peer to, OutFrame frame) {
        Link link = openByNodeId.get(to.nodeId());
        boolean found = link != null && hasAddress(link, to.controlAddress());
        Link chosen = found ? link : linkBeingOpened(to.controlAddress(), to);
        if (chosen != null) {
            chosen.send(frame);
        }
    }

    void send(InetSocketAddress to, OutFrame frame) {
        for (Link link : openByNodeId.values()) {
            if (hasAddress(link, to)) {
                link.send(frame);
                return;
            }
        }
        Link link = linkBeingOpened(to, null);
        if (link != null) {
            link.send(frame);
        }
    }

    /** Accepts pending connections, subject to the accept rate and the limit on links. */
    void accept(SelectionKey key) {
        ServerSocketChannel server = (ServerSocketChannel) key.channel();
        try {
            SocketChannel channel = server.accept();
            while (channel != null) {
                admit(channel);
                channel = server.accept();
            }
        } catch (IOException e) {
            // For instance out of file descriptors. The server socket stays ready, so pause
            // accepting to avoid a busy loop.
            log.warn("accepting a link failed; pausing before the next attempt", e);
            key.interestOps(0);
            context.scheduleOnLoop(ACCEPT_PAUSE_NANOS, () -> resumeAccepting(key));
        }
    }

    /**
     * Returns whether a {@link Hello} comes from an earlier incarnation of a connected peer, or
     * carries this node's own id.
     */
    boolean isOutdated(Hello hello) {
        Link present = openByNodeId.get(hello.peer().nodeId());
        boolean older = present != null && present.incarnation() > hello.incarnation();
        return older || hello.peer().nodeId().equals(context.hello().peer().nodeId());
    }

    void onOpened(Link link, Hello hello) {
        if (link.target() != null) {
            openingByAddress.remove(link.target(), link);
            failedConnects.remove(link.target());
        }
        String nodeId = hello.peer().nodeId();
        Link present = openByNodeId.get(nodeId);
        if (present != null && present.incarnation() == hello.incarnation()) {
            return;
        }
        openByNodeId.put(nodeId, link);
        if (present != null) {
            present.close(null);
        }
    }

    void onClosed(Link link, Link.Phase before) {
        links.remove(link);
        InetSocketAddress target = link.target();
        if (target != null) {
            openingByAddress.remove(target, link);
            if (before != Link.Phase.OPEN) {
                backOff(target);
            }
        }
        Peer peer = link.peer();
        if (peer != null && openByNodeId.remove(peer.nodeId(), link)) {
            links.stream()
                    .filter(other -> isSameIncarnation(other, link))
                    .findFirst()
                    .ifPresent(other -> openByNodeId.put(peer.nodeId(), other));
        }
    }

    /** Closes links whose deadlines have passed and removes expired back-off state. */
    void sweep() {
        for (Link link : List.copyOf(links)) {
            link.sweep();
        }
        long now = context.clock().nanos();
        long keepNanos = 2 * context.limits().backOffMax().toNanos();
        failedConnects.values().removeIf(a -> now - a.notBeforeNanos > keepNanos);
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

    private @Nullable Link linkBeingOpened(InetSocketAddress address, @Nullable Peer expected) {
        Link present = openingByAddress.get(address);
        if (present != null && present.canLeadTo(expected)) {
            if (expected != null) {
                present.setExpectedPeer(expected);
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
        openingByAddress.put(address, link);
        scheduleConnect(link, address);
        return link;
    }

    private void scheduleConnect(Link link, InetSocketAddress address) {
        FailedConnects failed = failedConnects.get(address);
        long waitNanos = failed == null ? 0 : failed.notBeforeNanos - context.clock().nanos();
        if (waitNanos > 0) {
            context.scheduleOnLoop(waitNanos, link::connect);
        } else {
            // Deferred, because a connect that fails immediately would close the link while its
            // first frame is being queued.
            context.loop().execute(link::connect);
        }
    }

    private void admit(SocketChannel channel) throws IOException {
        // A quarter of the links is reserved for those that this node opens, so that incoming
        // connections cannot use them all up.
        int maxLinks = context.limits().maxLinks();
        boolean room = links.size() < maxLinks - maxLinks / 4;
        if (closed || !room || !acceptRate.take()) {
            context.counters().fault(TransportFault.ACCEPT_REFUSED);
            channel.close();
            return;
        }
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            links.add(Link.accepted(context, this, channel));
        } catch (IOException e) {
            log.debug("setting up an accepted link failed", e);
            channel.close();
        }
    }

    private void backOff(InetSocketAddress address) {
        TransportLimits limits = context.limits();
        FailedConnects failed =
                failedConnects.computeIfAbsent(
                        address,
                        a ->
                                new FailedConnects(
                                        new FullJitterBackOff(
                                                limits.backOffFirst(),
                                                limits.backOffMax(),
                                                context.random())));
        failed.notBeforeNanos = context.clock().nanos() + failed.backOff.next().toNanos();
    }

    private static boolean hasAddress(Link link, InetSocketAddress address) {
        Peer peer = link.peer();
        return peer != null && peer.controlAddress().equals(address);
    }

    private static boolean isSameIncarnation(Link link, Link other) {
        Peer peer = link.peer();
        Peer otherPeer = other.peer();
        return link.phase() == Link.Phase.OPEN
                && peer != null
                && otherPeer != null
                && peer.nodeId().equals(otherPeer.nodeId())
                && link.incarnation() == other.incarnation();
    }
}
