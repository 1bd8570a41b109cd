package dev.zinniaring.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A TCP connection to a peer, opened or accepted by this node. Confined to the I/O thread. */
final class Link {
    private static final Logger log = LoggerFactory.getLogger(Link.class);
    private static final int MAX_HELLO_BYTES = 1_024;

    private final LinkContext context;
    private final LinkTable table;
    private final @Nullable InetSocketAddress target;
    private final FrameDecoder decoder;
    private final LinkWriter writer;
    private final LinkDeadlines deadlines;
    private Phase phase;
    private @Nullable Peer expected;
    private @Nullable SocketChannel channel;
    private @Nullable SelectionKey key;
    private @Nullable Peer peer;
    private long incarnation;

    /** The phases of a link. */
    enum Phase {
        /** Not connecting yet, for instance during back-off. */
        WAITING,
        CONNECTING,
        /** Connected; the peer's {@link Hello} has not arrived. */
        GREETING,
        OPEN,
        CLOSED
    }

    private Link(
            LinkContext context,
            LinkTable table,
            @Nullable InetSocketAddress target,
            @Nullable Peer expected) {
        this.context = context;
        this.table = table;
        this.target = target;
        this.expected = expected;
        this.decoder = new FrameDecoder(MAX_HELLO_BYTES);
        this.writer = new LinkWriter(context, this::flush);
        this.phase = Phase.WAITING;
        this.deadlines = new LinkDeadlines(context.limits(), target == null, now());
    }

    static Link to(
            LinkContext context,
            LinkTable table,
            InetSocketAddress target,
            @Nullable Peer expected) {
        return new Link(context, table, target, expected);
    }

    static Link accepted(LinkContext context, LinkTable table, SocketChannel channel)
            throws IOException {
        Link link = new Link(context, table, null, null);
        link.channel = channel;
        link.phase = Phase.GREETING;
        link.register(channel, SelectionKey.OP_READ);
        return link;
    }

    /** Starts connecting, unless the link was closed in the meantime. */
    void connect() {
        if (phase != Phase.WAITING || target == null) {
            return;
        }
        phase = Phase.CONNECTING;
        deadlines.startHandshake(now());
        if (expected != null && context.conditionTo(expected.zone()).cut()) {
            return; // as in a real partition, the attempt ends by handshake timeout
        }
        try {
            SocketChannel opened = SocketChannel.open();
            channel = opened;
            boolean connected = startConnect(opened, target);
            if (connected) {
                onConnected();
            }
        } catch (IOException e) {
            fail(TransportFault.CONNECT_FAILED, e);
        }
    }

    void send(OutFrame frame) {
        offer(frame);
        if (phase == Phase.OPEN) {
            deadlines.recordUse(now());
            flush();
        }
    }

    /** Closes the link if one of its deadlines has passed; sends a link check if one is due. */
    void sweep() {
        long now = now();
        if (phase == Phase.CONNECTING || phase == Phase.GREETING) {
            if (deadlines.isHandshakeOverdue(now)) {
                close(TransportFault.HANDSHAKE_TIMEOUT);
            }
        } else if (phase == Phase.OPEN) {
            sweepOpen(now);
        }
    }

    private void sweepOpen(long now) {
        Optional<TransportFault> fault = deadlines.missedDeadline(now);
        if (fault.isPresent()) {
            close(fault.get());
        } else if (writer.isStalled(now)) {
            close(TransportFault.WRITE_STALL);
        } else if (writer.isEmpty() && deadlines.isIdle(now)) {
            close(null);
        } else {
            if (deadlines.shouldSendCheck(now)) {
                offer(OutFrame.of(LinkCheck.CODEC, new LinkCheck(false)));
            }
            flush();
        }
    }

    private void offer(OutFrame frame) {
        if (!writer.offer(frame)) {
            close(TransportFault.QUEUE_FULL);
        }
    }

    /**
     * Closes the link. Does nothing if called again.
     *
     * @param fault the fault to count, or null for a regular close
     */
    void close(@Nullable TransportFault fault) {
        if (phase == Phase.CLOSED) {
            return;
        }
        Phase before = phase;
        phase = Phase.CLOSED;
        if (fault != null) {
            context.counters().fault(fault);
        }
        writer.close();
        if (channel != null) {
            closeChannel(channel);
        }
        table.onClosed(this, before);
    }

    Phase phase() {
        return phase;
    }

    @Nullable Peer peer() {
        return peer;
    }

    @Nullable InetSocketAddress target() {
        return target;
    }

    long incarnation() {
        return incarnation;
    }

    /**
     * Returns whether this link can be the one to a peer. It can if either node id is still
     * unknown, which is settled by the peer's {@link Hello}.
     */
    boolean canLeadTo(@Nullable Peer other) {
        return expected == null || other == null || expected.nodeId().equals(other.nodeId());
    }

    /** Sets the node that must answer; a {@link Hello} from another node closes the link. */
    void setExpectedPeer(Peer other) {
        expected = other;
    }

    TransportState.LinkState state() {
        return new TransportState.LinkState(
                peer == null ? "" : peer.nodeId(),
                peer == null ? "" : peer.zone(),
                target != null,
                phase.name().toLowerCase(java.util.Locale.ROOT),
                writer.queuedFrames(),
                writer.queuedBytes());
    }

    private boolean startConnect(SocketChannel opened, InetSocketAddress address)
            throws IOException {
        opened.configureBlocking(false);
        opened.setOption(StandardSocketOptions.TCP_NODELAY, true);
        boolean connected = opened.connect(address);
        register(opened, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
        return connected;
    }

    private void register(SocketChannel watched, int operations) throws IOException {
        key = context.loop().register(watched, operations, this::onReady);
    }

    private void onReady(SelectionKey readyKey) {
        try {
            if (readyKey.isConnectable() && channel != null && channel.finishConnect()) {
                readyKey.interestOps(SelectionKey.OP_READ);
                onConnected();
            }
            if (readyKey.isValid() && readyKey.isReadable()) {
                read();
            }
            if (readyKey.isValid() && readyKey.isWritable()) {
                flush();
            }
        } catch (TransportException e) {
            log.debug("link to {} closed: {}", peer, e.getMessage());
            close(faultOf(e));
        } catch (IOException e) {
            fail(
                    isOpenOrAccepted() ? TransportFault.LINK_BROKEN : TransportFault.CONNECT_FAILED,
                    e);
        }
    }

    private static TransportFault faultOf(TransportException e) {
        return e.getCause() == null ? TransportFault.FRAME_LENGTH : TransportFault.MALFORMED_FRAME;
    }

    private void onConnected() {
        phase = Phase.GREETING;
        writer.queueHello(expected == null ? context.zone() : expected.zone());
        flush();
    }

    private void read() throws IOException, TransportException {
        ByteBuffer buffer = context.loop().buffer();
        if (channel == null || channel.read(buffer) < 0) {
            close(phase == Phase.GREETING && target != null ? TransportFault.CONNECT_FAILED : null);
            return;
        }
        buffer.flip();
        deadlines.recordReceived(now());
        boolean completed = false;
        byte[] frame = decoder.next(buffer);
        while (frame != null) {
            completed = true;
            receive(frame);
            frame = phase == Phase.CLOSED ? null : decoder.next(buffer);
        }
        deadlines.recordFrameProgress(decoder.isPartial(), completed, now());
    }

    private void receive(byte[] frame) throws TransportException {
        Optional<MessageTypes.Decoded> decoded = context.types().decode(frame);
        if (phase == Phase.GREETING) {
            Message first = decoded.map(MessageTypes.Decoded::message).orElse(null);
            if (first instanceof Hello hello) {
                onHello(hello, frame.length);
            } else {
                close(TransportFault.MALFORMED_FRAME);
            }
            return;
        }
        if (decoded.isPresent() && decoded.get().message() instanceof LinkCheck check) {
            onLinkCheck(check, frame.length);
            return;
        }
        deadlines.recordUse(now());
        if (decoded.isEmpty() || peer == null) {
            context.counters().fault(TransportFault.UNKNOWN_TYPE);
            return;
        }
        MessageTypes.Entry<?> entry = decoded.get().entry();
        countReceived(entry.name(), peer, frame.length);
        context.deliver(entry, peer, decoded.get().message());
    }

    /**
     * Answers a link check. Checks do not reset the idle timeout, so an unused link still closes.
     */
    private void onLinkCheck(LinkCheck check, int bytes) {
        if (peer != null) {
            countReceived("LinkCheck", peer, bytes);
        }
        if (!check.answer()) {
            offer(OutFrame.of(LinkCheck.CODEC, new LinkCheck(true)));
            flush();
        }
    }

    private void onHello(Hello hello, int bytes) {
        Optional<TransportFault> refused = reasonToRefuse(hello);
        if (refused.isPresent()) {
            log.debug("refused link with {}: {}", hello.peer(), refused.get());
            close(refused.get());
            return;
        }
        peer = hello.peer();
        incarnation = hello.incarnation();
        countReceived("Hello", hello.peer(), bytes);
        phase = Phase.OPEN;
        deadlines.recordOpened(now());
        decoder.setMaxFrameBytes(context.limits().maxFrameBytes());
        table.onOpened(this, hello);
        if (target == null) {
            writer.queueHello(hello.peer().zone());
        }
        writer.onOpened(hello.peer());
        flush();
    }

    private Optional<TransportFault> reasonToRefuse(Hello hello) {
        Optional<TransportFault> wrong = context.check(hello);
        if (wrong.isPresent()) {
            return wrong;
        }
        if (!canLeadTo(hello.peer()) || table.isOutdated(hello)) {
            return Optional.of(TransportFault.WRONG_PEER);
        }
        if (context.isCutFrom(hello.peer().zone())) {
            return Optional.of(TransportFault.HANDSHAKE_TIMEOUT);
        }
        return Optional.empty();
    }

    private void flush() {
        SocketChannel open = channel;
        if (phase == Phase.CLOSED || open == null) {
            return;
        }
        try {
            boolean blocked = writer.write(open);
            int read = SelectionKey.OP_READ;
            int wanted = blocked ? read | SelectionKey.OP_WRITE : read;
            if (key != null && key.isValid() && key.interestOps() != wanted) {
                key.interestOps(wanted);
            }
        } catch (IOException e) {
            fail(TransportFault.LINK_BROKEN, e);
        }
    }

    private void countReceived(String name, Peer from, int bodyBytes) {
        context.counters()
                .count(
                        name,
                        TrafficCounters.Direction.RECEIVED,
                        context.isCrossZone(from.zone()),
                        FrameDecoder.LENGTH_BYTES + bodyBytes);
    }

    private boolean isOpenOrAccepted() {
        return phase == Phase.OPEN || target == null;
    }

    private void fail(TransportFault fault, IOException cause) {
        log.debug("link to {} failed", peer == null ? target : peer, cause);
        close(fault);
    }

    private static void closeChannel(SocketChannel open) {
        try {
            open.close();
        } catch (IOException e) {
            log.debug("closing a socket failed", e);
        }
    }

    private long now() {
        return context.clock().nanos();
    }
}
