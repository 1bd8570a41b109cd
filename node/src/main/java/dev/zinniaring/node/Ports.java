package dev.zinniaring.node;

import dev.zinniaring.kernel.KernelException;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.ServerSocketChannel;

/**
 * The ports that a node advertises, reserved before its components are created.
 *
 * @param callers listens for calls of callers
 * @param peers listens for calls of other nodes
 * @param control address for control messages; its port was free when it was chosen, but is not
 *     bound yet
 */
record Ports(ServerSocketChannel callers, ServerSocketChannel peers, InetSocketAddress control) {
    private static final int BACKLOG = 1_024;
    private static final int MAX_TRIES = 100;

    /**
     * Reserves the ports named in the settings; port 0 is replaced by a free port.
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
            throw new KernelException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    /**
     * Returns an address whose port is free for both TCP and UDP. The network binds both later, but
     * the port number must be known before, since peers are told of it.
     */
    private static InetSocketAddress freeControl(InetSocketAddress configured)
            throws KernelException {
        if (configured.getPort() != 0) {
            return configured;
        }
        for (int i = 0; i < MAX_TRIES; i++) {
            try (ServerSocket tcp = new ServerSocket(0, 1, configured.getAddress());
                    DatagramSocket udp =
                            new DatagramSocket(
                                    new InetSocketAddress(
                                            configured.getAddress(), tcp.getLocalPort()))) {
                return new InetSocketAddress(configured.getAddress(), udp.getLocalPort());
            } catch (IOException e) {
                if (i == MAX_TRIES - 1) {
                    throw new KernelException("no port is free for both TCP and UDP", e);
                }
            }
        }
        throw new KernelException("no port is free for both TCP and UDP");
    }

    private static void close(ServerSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            throw new IllegalStateException("could not close a listening socket", e);
        }
    }
}
