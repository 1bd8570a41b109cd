package dev.zinniaring.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.net.SocketImpl;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.jspecify.annotations.Nullable;

/**
 * A client socket that can check whether a persistent connection is usable for another request.
 * OkHttp itself checks only connections that were idle for ten seconds, and only for being closed;
 * a request on a closed connection would have to be reported as possibly run.
 */
final class HopSocket extends Socket {
    private final SocketChannel channel = SocketChannel.open();
    private final Socket socket = channel.socket();
    private final SentCallIds sentIds = new SentCallIds();
    private @Nullable FramedInputStream input;
    private @Nullable RequestOutputStream output;

    private volatile boolean retired;

    HopSocket() throws IOException {
        super((SocketImpl) null);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }

    /**
     * Lets no request follow the current one, as its response does not name it: a second copy of
     * such a response could not be told from the next one.
     */
    void retire() {
        retired = true;
    }

    /**
     * Begins a request. Returns false if the connection is not usable, as the other side has closed
     * it or has sent unexpected bytes, or for this call, as it has carried the call before: a late
     * copy of the earlier response could not be told from the next one.
     *
     * @param target written in place of the target in the URL, or null
     */
    boolean begin(String method, String callId, @Nullable RequestTarget target) {
        FramedInputStream in = input;
        RequestOutputStream out = output;
        if (retired || in == null || out == null || !in.atResponseEnd() || !idle()) {
            return false;
        }
        if (!sentIds.add(callId)) {
            return false;
        }
        in.begin(method);
        out.begin(target);
        return true;
    }

    /** Returns the number of requests on this connection, with the current one. */
    int requests() {
        return sentIds.count();
    }

    private boolean idle() {
        try {
            channel.configureBlocking(false);
            int count = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return count == 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public synchronized InputStream getInputStream() throws IOException {
        FramedInputStream known = input;
        if (known == null) {
            known = new FramedInputStream(socket.getInputStream());
            input = known;
        }
        return known;
    }

    @Override
    public synchronized OutputStream getOutputStream() throws IOException {
        RequestOutputStream known = output;
        if (known == null) {
            known = new RequestOutputStream(socket.getOutputStream());
            output = known;
        }
        return known;
    }

    @Override
    public void connect(SocketAddress endpoint) throws IOException {
        socket.connect(endpoint);
    }

    @Override
    public void connect(SocketAddress endpoint, int timeoutMillis) throws IOException {
        socket.connect(endpoint, timeoutMillis);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    @Override
    public boolean isClosed() {
        return !channel.isOpen();
    }

    @Override
    public boolean isConnected() {
        return socket.isConnected();
    }

    @Override
    public boolean isBound() {
        return socket.isBound();
    }

    @Override
    public boolean isInputShutdown() {
        return socket.isInputShutdown();
    }

    @Override
    public boolean isOutputShutdown() {
        return socket.isOutputShutdown();
    }

    @Override
    public void shutdownInput() throws IOException {
        socket.shutdownInput();
    }

    @Override
    public void shutdownOutput() throws IOException {
        socket.shutdownOutput();
    }

    @Override
    public synchronized void setSoTimeout(int timeoutMillis) throws SocketException {
        socket.setSoTimeout(timeoutMillis);
    }

    @Override
    public synchronized int getSoTimeout() throws SocketException {
        return socket.getSoTimeout();
    }

    @Override
    public @Nullable InetAddress getInetAddress() {
        return socket.getInetAddress();
    }

    @Override
    public InetAddress getLocalAddress() {
        return socket.getLocalAddress();
    }

    @Override
    public int getPort() {
        return socket.getPort();
    }

    @Override
    public int getLocalPort() {
        return socket.getLocalPort();
    }

    @Override
    public @Nullable SocketAddress getRemoteSocketAddress() {
        return socket.getRemoteSocketAddress();
    }

    @Override
    public @Nullable SocketAddress getLocalSocketAddress() {
        return socket.getLocalSocketAddress();
    }

    @Override
    public String toString() {
        return "HopSocket[" + channel + "]";
    }
}
