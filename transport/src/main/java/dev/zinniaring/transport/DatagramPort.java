package dev.zinniaring.transport;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.Optional;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends and receives datagrams, each a {@link Hello} followed by one message. */
final class DatagramPort {
    private static final Logger log = LoggerFactory.getLogger(DatagramPort.class);
    private static final int MAX_DATAGRAMS_PER_READ = 64;

    private final LinkContext context;
    private final DatagramChannel channel;
    private final byte[] hello;

    DatagramPort(LinkContext context, DatagramChannel channel) {
        this.context = context;
        this.channel = channel;
        this.hello = MessageTypes.encode(Hello.CODEC, context.hello());
    }

    /** Sends a message. Thread-safe. */
    void send(Peer to, MessageTypes.Entry<?> entry, Message message) {
        byte[] encoded = MessageTypes.encode(entry.codec(), message);
        int bytes = hello.length + encoded.length;
        if (bytes > TransportLimits.MAX_DATAGRAM_BYTES) {
            context.counters().fault(TransportFault.DATAGRAM_NOT_SENT);
            log.debug("{} of {} bytes exceeds the datagram limit", entry.name(), bytes);
            return;
        }
        ByteBuffer datagram = ByteBuffer.allocate(bytes).put(hello).put(encoded).flip();
        boolean crossZone = context.isCrossZone(to.zone());
        context.counters().count(entry.name(), TrafficCounters.Direction.SENT, crossZone, bytes);
        LinkConditions.Condition condition = context.conditionTo(to.zone());
        if (condition.equals(LinkConditions.Condition.UNIMPAIRED)) {
            write(to, datagram);
        } else {
            context.loop().execute(() -> writeImpaired(condition, to, datagram));
        }
    }

    /** Receives a bounded number of pending datagrams. */
    void receive(SelectionKey key) {
        try {
            for (int i = 0; i < MAX_DATAGRAMS_PER_READ; i++) {
                ByteBuffer buffer = context.loop().buffer();
                buffer.limit(TransportLimits.MAX_DATAGRAM_BYTES + 1);
                SocketAddress from = channel.receive(buffer);
                if (from == null) {
                    return;
                }
                read(buffer.flip());
            }
        } catch (IOException e) {
            log.debug("receiving a datagram failed", e);
        }
    }

    private void read(ByteBuffer buffer) {
        if (buffer.remaining() > TransportLimits.MAX_DATAGRAM_BYTES) {
            context.counters().fault(TransportFault.MALFORMED_DATAGRAM);
            return;
        }
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            Hello hello = Hello.readPrefix(in);
            Optional<TransportFault> wrong = context.check(hello);
            if (wrong.isPresent()) {
                context.counters().fault(wrong.get());
                return;
            }
            deliver(hello.peer(), context.types().decode(in), bytes.length);
        } catch (IOException | RuntimeException e) {
            context.counters().fault(TransportFault.MALFORMED_DATAGRAM);
            log.debug("malformed datagram", e);
        }
    }

    private void deliver(Peer from, Optional<MessageTypes.Decoded> decoded, int bytes) {
        if (decoded.isEmpty()) {
            context.counters().fault(TransportFault.UNKNOWN_TYPE);
            return;
        }
        MessageTypes.Entry<?> entry = decoded.get().entry();
        boolean crossZone = context.isCrossZone(from.zone());
        context.counters()
                .count(entry.name(), TrafficCounters.Direction.RECEIVED, crossZone, bytes);
        context.deliver(entry, from, decoded.get().message());
    }

    private void writeImpaired(LinkConditions.Condition condition, Peer to, ByteBuffer datagram) {
        if (condition.cut() || context.drawLoss(condition)) {
            return;
        }
        long delayNanos = context.delayNanos(condition);
        if (delayNanos > 0) {
            context.scheduleOnLoop(delayNanos, () -> write(to, datagram));
        } else {
            write(to, datagram);
        }
    }

    private void write(Peer to, ByteBuffer datagram) {
        try {
            if (channel.send(datagram, to.controlAddress()) == 0) {
                context.counters().fault(TransportFault.DATAGRAM_NOT_SENT);
            }
        } catch (IOException e) {
            context.counters().fault(TransportFault.DATAGRAM_NOT_SENT);
            log.debug("sending a datagram to {} failed", to.nodeId(), e);
        }
    }
}
