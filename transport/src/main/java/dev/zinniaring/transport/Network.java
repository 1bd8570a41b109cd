package dev.zinniaring.transport;

/**
 * Sends typed messages between nodes, either as frames over TCP links, which are opened on demand
 * and closed when idle, or as single UDP datagrams. Sending never blocks. Thread-safe.
 *
 * <pre>{@code
 * network.handle(Ping.CODEC, (from, ping) -> network.datagram(from, new Ack(ping.number())));
 * network.send(peer, new VersionPull(7));
 * }</pre>
 */
public interface Network {
    /** Returns the id, availability zone and control address under which peers reach this node. */
    Peer self();

    /** Returns this process's incarnation: its start time in milliseconds since the epoch. */
    long incarnation();

    /**
     * Registers a message type and the handler that receives it. Call before the network starts.
     */
    <M extends Message> void registerHandler(MessageCodec<M> codec, Handler<M> handler);

    /**
     * Queues a message on the TCP link to a peer and opens the link if there is none. Delivery is
     * best effort: the message is lost if the link fails.
     */
    void send(Peer to, Message message);

    /**
     * Queues a message to an address whose node id is not known yet, such as a seed from the
     * settings. Delivery is best effort.
     */
    void send(java.net.InetSocketAddress to, Message message);

    /**
     * Sends a message as one UDP datagram. Delivery is best effort. A datagram of more than 1,400
     * bytes, sender information included, is dropped and counted.
     */
    void sendDatagram(Peer to, Message message);

    /** Handles the received messages of one type. */
    @FunctionalInterface
    interface Handler<M extends Message> {
        /** Handles a message. Called on the network's I/O thread, so it must not block. */
        void onMessage(Peer from, M message);
    }
}
