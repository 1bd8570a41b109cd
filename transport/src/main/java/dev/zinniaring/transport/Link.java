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

/** One TCP connection, opened or accepted. Used by the I/O thread alone. */
final class Link {
    private static final Logger log = LoggerFactory.getLogger(Link.class);
    private static final int MAX_GREETING_BYTES = 1_024;

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

    /** The life of a link. */
    enum Phase {
        WAITING,
        CONNECTING,
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
        this.decoder = new FrameDecoder(MAX_GREETING_BYTES);
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
        link.watch(channel, SelectionKey.OP_READ);
        return link;
    }

    /** Begins to connect, unless the link was closed while it waited. */
    void connect() {
        if (phase != Phase.WAITING || target == null) {
            return;
        }
        phase = Phase.CONNECTING;
        deadlines.connecting(now());
        if (expected != null && context.conditionTo(expected.zone()).cut()) {
            return; // the handshake timeout ends the attempt, as it would behind a real cut
        }
        try {
            SocketChannel opened = SocketChannel.open();
            channel = opened;
            boolean connected = watchWhileConnecting(opened, target);
            if (connected) {
                connected();
            }
        } catch (IOException e) {
            fail(TransportFault.CONNECT_FAILED, e);
        }
    }

    void send(OutFrame frame) {
        offer(frame);
        if (phase == Phase.OPEN) {
            deadlines.used(now());
            flush();
        }
    }

    /** Closes the link if one of its deadlines has passed. */
    void sweep() {
        long now = now();
        if (phase == Phase.CONNECTING || phase == Phase.GREETING) {
            if (deadlines.missedGreeting(now)) {
                close(TransportFault.HANDSHAKE_TIMEOUT);
            }
        } else if (phase == Phase.OPEN) {
            sweepOpen(now);
        }
    }

    private void sweepOpen(long now) {
        Optional<TransportFault> missed = deadlines.missed(now);
        if (missed.isPresent()) {
            close(missed.get());
        } else if (writer.isStalled(now)) {
            close(TransportFault.WRITE_STALL);
        } else if (writer.isEmpty() && deadlines.isIdle(now)) {
            close(null);
        } else {
            if (deadlines.mustAsk(now)) {
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

    /** Closes the link; does nothing if called again. */
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
        table.closed(this, before);
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

    /** Returns whether the link may lead to a peer; an unknown one fits until the greeting. */
    boolean mayLeadTo(@Nullable Peer other) {
        return expected == null || other == null || expected.nodeId().equals(other.nodeId());
    }

    /** Names the node that must answer. */
    void expect(Peer other) {
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

    private boolean watchWhileConnecting(SocketChannel opened, InetSocketAddress address)
            throws IOException {
        opened.configureBlocking(false);
        opened.setOption(StandardSocketOptions.TCP_NODELAY, true);
        boolean connected = opened.connect(address);
        watch(opened, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT);
        return connected;
    }

    private void watch(SocketChannel watched, int operations) throws IOException {
        key = context.loop().register(watched, operations, this::ready);
    }

    private void ready(SelectionKey ready) {
        try {
            if (ready.isConnectable() && channel != null && channel.finishConnect()) {
                ready.interestOps(SelectionKey.OP_READ);
                connected();
            }
            if (ready.isValid() && ready.isReadable()) {
                read();
            }
            if (ready.isValid() && ready.isWritable()) {
                flush();
            }
        } catch (TransportException e) {
            log.debug("link to {} closed: {}", peer, e.getMessage());
            close(malformed(e));
        } catch (IOException e) {
            fail(opened() ? TransportFault.LINK_BROKEN : TransportFault.CONNECT_FAILED, e);
        }
    }

    private static TransportFault malformed(TransportException e) {
        return e.getCause() == null ? TransportFault.FRAME_LENGTH : TransportFault.MALFORMED_FRAME;
    }

    private void connected() {
        phase = Phase.GREETING;
        writer.greet(expected == null ? context.zone() : expected.zone());
        flush();
    }

    private void read() throws IOException, TransportException {
        ByteBuffer buffer = context.loop().buffer();
        if (channel == null || channel.read(buffer) < 0) {
            close(phase == Phase.GREETING && target != null ? TransportFault.CONNECT_FAILED : null);
            return;
        }
        buffer.flip();
        deadlines.received(now());
        boolean completed = false;
        byte[] frame = decoder.next(buffer);
        while (frame != null) {
            completed = true;
            receive(frame);
            frame = phase == Phase.CLOSED ? null : decoder.next(buffer);
        }
        deadlines.read(decoder.isPartial(), completed, now());
    }

    private void receive(byte[] frame) throws TransportException {
        Optional<MessageTypes.Decoded> decoded = context.types().decode(frame);
        if (phase == Phase.GREETING) {
            Message first = decoded.map(MessageTypes.Decoded::message).orElse(null);
            if (first instanceof Hello hello) {
                greeted(hello, frame.length);
            } else {
                close(TransportFault.MALFORMED_FRAME);
            }
            return;
        }
        if (decoded.isPresent() && decoded.get().message() instanceof LinkCheck check) {
            onCheck(check, frame.length);
            return;
        }
        deadlines.used(now());
        if (decoded.isEmpty() || peer == null) {
            context.counters().fault(TransportFault.UNKNOWN_TYPE);
            return;
        }
        MessageTypes.Entry<?> entry = decoded.get().entry();
        countReceived(entry.name(), peer, frame.length);
        context.deliver(entry, peer, decoded.get().message());
    }

    /** Answers a check. Checks are no use of the link, so that it may still close when idle. */
    private void onCheck(LinkCheck check, int bytes) {
        if (peer != null) {
            countReceived("LinkCheck", peer, bytes);
        }
        if (!check.answer()) {
            offer(OutFrame.of(LinkCheck.CODEC, new LinkCheck(true)));
            flush();
        }
    }

    private void greeted(Hello hello, int bytes) {
        Optional<TransportFault> refused = refusal(hello);
        if (refused.isPresent()) {
            log.debug("refused link with {}: {}", hello.peer(), refused.get());
            close(refused.get());
            return;
        }
        peer = hello.peer();
        incarnation = hello.incarnation();
        countReceived("Hello", hello.peer(), bytes);
        phase = Phase.OPEN;
        deadlines.opened(now());
        decoder.allow(context.limits().maxFrameBytes());
        table.opened(this, hello);
        if (target == null) {
            writer.greet(hello.peer().zone());
        }
        writer.opened(hello.peer());
        flush();
    }

    private Optional<TransportFault> refusal(Hello hello) {
        Optional<TransportFault> wrong = context.check(hello);
        if (wrong.isPresent()) {
            return wrong;
        }
        if (!mayLeadTo(hello.peer()) || table.isOutdated(hello)) {
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
                        context.crosses(from.zone()),
                        FrameDecoder.LENGTH_BYTES + bodyBytes);
    }

    private boolean opened() {
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
            log.debug("socket did not close", e);
        }
    }

    private long now() {
        return context.clock().nanos();
    }
}
