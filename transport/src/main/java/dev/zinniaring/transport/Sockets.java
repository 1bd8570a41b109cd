package dev.zinniaring.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.DatagramChannel;
import java.nio.channels.ServerSocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The TCP server socket and the UDP socket of a network, bound to the same port number. */
record Sockets(ServerSocketChannel server, DatagramChannel datagrams) {
    private static final Logger log = LoggerFactory.getLogger(Sockets.class);
    private static final int BACKLOG = 512;
    private static final int EPHEMERAL_PORT_ATTEMPTS = 50;

    /**
     * Binds both sockets.
     *
     * @param address the address to bind; port 0 selects a port that is free for both protocols
     */
    static Sockets bind(InetSocketAddress address) throws TransportException {
        int attemptsLeft = address.getPort() == 0 ? EPHEMERAL_PORT_ATTEMPTS : 1;
        while (true) {
            attemptsLeft--;
            try {
                return bindOnce(address);
            } catch (BindException e) {
                if (attemptsLeft == 0) {
                    throw new TransportException("cannot bind " + address, e);
                }
            } catch (IOException e) {
                throw new TransportException("cannot bind " + address, e);
            }
        }
    }

    InetSocketAddress address() throws TransportException {
        try {
            return (InetSocketAddress) server.getLocalAddress();
        } catch (IOException e) {
            throw new TransportException("server socket has no address", e);
        }
    }

    void close() {
        close(server);
        close(datagrams);
    }

    private static Sockets bindOnce(InetSocketAddress address) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            server.configureBlocking(false);
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(address, BACKLOG);
            return new Sockets(server, bindDatagrams((InetSocketAddress) server.getLocalAddress()));
        } catch (IOException e) {
            close(server);
            throw e;
        }
    }

    private static DatagramChannel bindDatagrams(InetSocketAddress address) throws IOException {
        DatagramChannel datagrams = DatagramChannel.open();
        try {
            datagrams.configureBlocking(false);
            datagrams.bind(address);
            return datagrams;
        } catch (IOException e) {
            close(datagrams);
            throw e;
        }
    }

    private static void close(AutoCloseable socket) {
        try {
            socket.close();
        } catch (Exception e) {
            log.debug("closing a socket failed", e);
        }
    }
}
