package dev.zinniaring.transport;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;

/** A test peer that writes arbitrary bytes to a blocking socket. */
final class RawPeer implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final Socket socket;

    RawPeer(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    static byte[] helloFrame(int protocol, String mesh, String nodeId, long incarnation) {
        Peer peer = new Peer(nodeId, "z9", new InetSocketAddress("127.0.0.1", 1));
        Hello hello = new Hello(protocol, mesh, peer, incarnation);
        return frame(MessageTypes.encode(Hello.CODEC, hello));
    }

    static byte[] noteFrame(long number) {
        return frame(MessageTypes.encode(Note.CODEC, Note.of(number)));
    }

    static byte[] frame(byte[] body) {
        return ByteBuffer.allocate(4 + body.length).putInt(body.length).put(body).array();
    }

    RawPeer write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
        return this;
    }

    /** Sends a valid Hello message and reads the one that is returned. */
    RawPeer handshake(String nodeId) throws IOException {
        write(helloFrame(Hello.PROTOCOL, "test", nodeId, 1));
        DataInputStream in = new DataInputStream(socket.getInputStream());
        in.readNBytes(in.readInt());
        return this;
    }

    /** Waits until the other side closes the connection, and discards what it sends. */
    boolean isClosedByPeer() {
        try {
            byte[] buffer = new byte[4_096];
            while (socket.getInputStream().read(buffer) >= 0) {}
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true; // connection reset: the peer closed it with unread bytes pending
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
