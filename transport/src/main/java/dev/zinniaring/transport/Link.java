package dev.zinniaring.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One TCP connection, opened or accepted. Used by the I/O thread alone. */
final class Link {
    private static final Logger log = LoggerFactory.getLogger(Link.class);
    private static final long RETRANSMISSION_NANOS = 200_000_000L;

    private final LinkContext context;
    private final LinkTable table;
    private final @Nullable InetSocketAddress target;
    private final FrameDecoder decoder;
    private final SendQueue queue;
    private Phase phase;
    private @Nullable Peer expected;
    private @Nullable SocketChannel channel;
    private @Nullable SelectionKey key;
    private @Nullable Peer peer;
    private long incarnation;
    private long startedNanos;
    private long lastUseNanos;
    private long partialSinceNanos;
    private long lastProgressNanos;
    private long lastDueNanos;
    private boolean wakePending;

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
        this.decoder = new FrameDecoder(context.limits().maxFrameBytes());
        this.queue = new SendQueue(context.limits().queueFrames(), context.limits().queueBytes());
        this.phase = Phase.WAITING;
        this.startedNanos = now();
        this.lastDueNanos = startedNanos;
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
        startedNanos = now();
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
        if (queue.size() == 0) {
            lastProgressNanos = now();
        }
        long droppedBefore = queue.dropped();
        SendQueue.Offer offer = queue.offer(frame);
        context.counters().fault(TransportFault.DROPPED_FRAMES, queue.dropped() - droppedBefore);
        if (offer == SendQueue.Offer.FULL) {
            close(TransportFault.QUEUE_FULL);
            return;
        }
        if (phase == Phase.OPEN) {
            lastUseNanos = now();
            assignDue(frame);
            flush();
        }
    }

    /** Closes the link if one of its deadlines has passed. */
    void sweep() {
        TransportLimits limits = context.limits();
        long now = now();
        if (phase == Phase.CONNECTING || phase == Phase.GREETING) {
            if (passed(startedNanos, limits.handshakeTimeout(), now)) {
                close(TransportFault.HANDSHAKE_TIMEOUT);
            }
            return;
        }
        if (phase != Phase.OPEN) {
            return;
        }
        // The acceptor waits longer, so that a link is closed by one side only.
        Duration idle =
                target == null ? limits.idleTimeout().multipliedBy(2) : limits.idleTimeout();
        if (decoder.isPartial() && passed(partialSinceNanos, limits.partialFrameTimeout(), now)) {
            close(TransportFault.PARTIAL_FRAME_TIMEOUT);
        } else if (isStalled(now)) {
            close(TransportFault.WRITE_STALL);
        } else if (queue.size() == 0 && passed(lastUseNanos, idle, now)) {
            close(null);
        } else {
            flush();
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
        context.counters().fault(TransportFault.UNSENT, queue.size());
        queue.clear();
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
                queue.size(),
                queue.bytes());
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
        greet(expected == null ? context.zone() : expected.zone());
    }

    private void greet(String toZone) {
        OutFrame greeting = OutFrame.of(Hello.CODEC, context.hello());
        lastProgressNanos = now();
        greeting.dueAt(now() + context.delayNanos(context.conditionTo(toZone)));
        lastDueNanos = greeting.dueNanos();
        queue.addFirst(greeting);
        flush();
    }

    private void read() throws IOException, TransportException {
        ByteBuffer buffer = context.loop().buffer();
        if (channel == null || channel.read(buffer) < 0) {
            close(phase == Phase.GREETING && target != null ? TransportFault.CONNECT_FAILED : null);
            return;
        }
        buffer.flip();
        boolean wasPartial = decoder.isPartial();
        byte[] frame = decoder.next(buffer);
        while (frame != null) {
            wasPartial = false;
            receive(frame);
            frame = phase == Phase.CLOSED ? null : decoder.next(buffer);
        }
        if (decoder.isPartial() && !wasPartial) {
            partialSinceNanos = now();
        }
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
        lastUseNanos = now();
        if (decoded.isEmpty() || peer == null) {
            context.counters().fault(TransportFault.UNKNOWN_TYPE);
            return;
        }
        MessageTypes.Entry<?> entry = decoded.get().entry();
        countReceived(entry.name(), peer, frame.length);
        context.deliver(entry, peer, decoded.get().message());
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
        lastUseNanos = now();
        table.opened(this, hello);
        if (target == null) {
            greet(hello.peer().zone());
        }
        queue.forEach(frame -> assignDueUnlessGreeting(frame));
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

    private void assignDueUnlessGreeting(OutFrame frame) {
        if (frame.type() != Hello.TYPE) {
            assignDue(frame);
        }
    }

    /** Sets when a frame is written. Frames of a link keep their order. */
    private void assignDue(OutFrame frame) {
        long due = now();
        if (peer != null) {
            LinkConditions.Condition condition = context.conditionTo(peer.zone());
            due += context.delayNanos(condition);
            due += context.loses(condition) ? RETRANSMISSION_NANOS : 0;
        }
        lastDueNanos = due - lastDueNanos > 0 ? due : lastDueNanos;
        frame.dueAt(lastDueNanos);
    }

    private void flush() {
        try {
            boolean blocked = write();
            if (key != null && key.isValid()) {
                int read = SelectionKey.OP_READ;
                key.interestOps(blocked ? read | SelectionKey.OP_WRITE : read);
            }
        } catch (IOException e) {
            fail(TransportFault.LINK_BROKEN, e);
        }
    }

    /** Writes what is due and returns whether the socket would not take all of it. */
    private boolean write() throws IOException {
        OutFrame frame = queue.peek();
        while (frame != null && channel != null && mayWrite(frame)) {
            if (channel.write(frame.bytes()) > 0) {
                lastProgressNanos = now();
            }
            if (frame.bytes().hasRemaining()) {
                return true;
            }
            queue.remove();
            countSent(frame);
            frame = queue.peek();
        }
        return false;
    }

    private boolean mayWrite(OutFrame frame) {
        boolean greeting = frame.type() == Hello.TYPE && phase == Phase.GREETING;
        if (phase != Phase.OPEN && !greeting) {
            return false;
        }
        if (peer != null && context.conditionTo(peer.zone()).cut()) {
            return false;
        }
        long waitNanos = frame.dueNanos() - now();
        if (waitNanos > 0 && !wakePending) {
            wakePending = true;
            context.later(waitNanos, this::wake);
        }
        return waitNanos <= 0;
    }

    private void wake() {
        wakePending = false;
        if (phase != Phase.CLOSED) {
            flush();
        }
    }

    private boolean isStalled(long now) {
        OutFrame head = queue.peek();
        Duration limit = context.limits().writeStallTimeout();
        return head != null
                && passed(head.dueNanos(), limit, now)
                && passed(lastProgressNanos, limit, now);
    }

    private void countSent(OutFrame frame) {
        boolean crosses = peer != null && context.crosses(peer.zone());
        if (peer == null && expected != null) {
            crosses = context.crosses(expected.zone());
        }
        context.counters()
                .count(
                        context.types().name(frame.type()),
                        TrafficCounters.Direction.SENT,
                        crosses,
                        frame.sizeBytes());
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

    private static boolean passed(long sinceNanos, Duration limit, long now) {
        return now - sinceNanos >= limit.toNanos();
    }
}
