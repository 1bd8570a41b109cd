package dev.zinniaring.transport;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;

/** A peer that writes arbitrary bytes on a blocking socket. */
final class RawPeer implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final Socket socket;

    RawPeer(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    static byte[] greeting(int protocol, String mesh, String nodeId, long incarnation) {
        Peer peer = new Peer(nodeId, "z9", new InetSocketAddress("127.0.0.1", 1));
        Hello hello = new Hello(protocol, mesh, peer, incarnation);
        return frame(MessageTypes.encode(Hello.CODEC, hello));
    }

    static byte[] note(long number) {
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

    /** Greets as a valid peer and reads the greeting that comes back. */
    RawPeer greet(String nodeId) throws IOException {
        write(greeting(Hello.PROTOCOL, "test", nodeId, 1));
        DataInputStream in = new DataInputStream(socket.getInputStream());
        in.readNBytes(in.readInt());
        return this;
    }

    /** Waits until the other side closes, discarding what it sends. */
    boolean isClosedByPeer() {
        try {
            byte[] buffer = new byte[4_096];
            while (socket.getInputStream().read(buffer) >= 0) {}
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true; // reset, because unread bytes were pending
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
