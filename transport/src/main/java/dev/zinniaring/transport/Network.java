package dev.zinniaring.transport;

/**
 * Sends typed messages between nodes: frames over TCP links, which open on demand and stay open
 * while used, and single UDP datagrams. Sending never blocks. Safe for use by several threads.
 *
 * <pre>{@code
 * network.handle(Ping.CODEC, (from, ping) -> network.datagram(from, new Ack(ping.number())));
 * network.send(peer, new VersionPull(7));
 * }</pre>
 */
public interface Network {
    /** Returns this node as others reach it. */
    Peer self();

    /** Returns this process's incarnation, its start time in milliseconds since the epoch. */
    long incarnation();

    /** Registers a type of message and what happens on receipt. Must precede the start. */
    <M extends Message> void handle(MessageCodec<M> codec, Handler<M> handler);

    /** Queues a message on the TCP link to a peer, which is opened if need be. Best effort. */
    void send(Peer to, Message message);

    /**
     * Queues a message to an address whose node is not known yet, such as a seed from the settings.
     * Best effort.
     */
    void send(java.net.InetSocketAddress to, Message message);

    /** Sends a message as one UDP datagram. Best effort; at most 1,400 bytes once encoded. */
    void datagram(Peer to, Message message);

    /** Receives the messages of one type. */
    @FunctionalInterface
    interface Handler<M extends Message> {
        /** Handles a message on the network's thread; must not block. */
        void on(Peer from, M message);
    }
}
