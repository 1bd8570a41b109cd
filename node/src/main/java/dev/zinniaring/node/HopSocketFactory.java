package dev.zinniaring.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/** Creates the sockets of a {@link HopClient}. */
final class HopSocketFactory extends SocketFactory {
    @Override
    public Socket createSocket() throws IOException {
        return new HopSocket();
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return connected(new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress localHost, int localPort)
            throws IOException {
        return createSocket(host, port);
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return connected(new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(
            InetAddress address, int port, InetAddress localAddress, int localPort)
            throws IOException {
        return createSocket(address, port);
    }

    private static Socket connected(InetSocketAddress address) throws IOException {
        Socket socket = new HopSocket();
        socket.connect(address);
        return socket;
    }
}
