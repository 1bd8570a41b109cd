package dev.zinniaring.node;

import dev.zinniaring.kernel.KernelException;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.ServerSocketChannel;

/**
 * The ports of a node that others are told of, taken before its parts are made.
 *
 * @param callers listens for callers
 * @param peers listens for calls of other nodes
 * @param control address for control messages, with a port that was free
 */
record Ports(ServerSocketChannel callers, ServerSocketChannel peers, InetSocketAddress control) {
    private static final int BACKLOG = 1_024;
    private static final int MAX_TRIES = 100;

    /**
     * Takes the ports that the settings name; a port 0 becomes a free one.
     *
     * @throws KernelException if a port is in use
     */
    static Ports open(NodeSettings settings) throws KernelException {
        ServerSocketChannel callers = listen(settings.callAddress());
        try {
            ServerSocketChannel peers = listen(settings.peerCallAddress());
            return new Ports(callers, peers, freeControl(settings.controlAddress()));
        } catch (KernelException e) {
            close(callers);
            throw e;
        }
    }

    InetSocketAddress callAddress() {
        return address(callers);
    }

    InetSocketAddress peerCallAddress() {
        return address(peers);
    }

    void close() {
        close(callers);
        close(peers);
    }

    private static InetSocketAddress address(ServerSocketChannel channel) {
        return (InetSocketAddress) channel.socket().getLocalSocketAddress();
    }

    private static ServerSocketChannel listen(InetSocketAddress address) throws KernelException {
        try {
            ServerSocketChannel channel = ServerSocketChannel.open();
            channel.socket().setReuseAddress(true);
            channel.bind(address, BACKLOG);
            return channel;
        } catch (IOException e) {
            throw new KernelException("cannot listen at " + address + ": " + e.getMessage(), e);
        }
    }

    /** The network binds TCP and UDP itself later, and tells its peers the port at once. */
    private static InetSocketAddress freeControl(InetSocketAddress wanted) throws KernelException {
        if (wanted.getPort() != 0) {
            return wanted;
        }
        for (int i = 0; i < MAX_TRIES; i++) {
            try (ServerSocket tcp = new ServerSocket(0, 1, wanted.getAddress());
                    DatagramSocket udp =
                            new DatagramSocket(
                                    new InetSocketAddress(
                                            wanted.getAddress(), tcp.getLocalPort()))) {
                return new InetSocketAddress(wanted.getAddress(), udp.getLocalPort());
            } catch (IOException e) {
                if (i == MAX_TRIES - 1) {
                    throw new KernelException("no port is free for TCP and UDP", e);
                }
            }
        }
        throw new KernelException("no port is free for TCP and UDP");
    }

    private static void close(ServerSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            throw new IllegalStateException("a listening socket could not be closed", e);
        }
    }
}
