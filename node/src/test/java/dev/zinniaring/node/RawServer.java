package dev.zinniaring.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server that reads the head of each request, writes the given bytes and optionally
 * closes the connection.
 */
final class RawServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final String response;
    private final boolean close;
    private final CountDownLatch release;

    RawServer(String response, boolean close) throws IOException {
        this(response, close, new CountDownLatch(0));
    }

    /** Starts a server that holds each request until the latch is released. */
    RawServer(String response, boolean close, CountDownLatch release) throws IOException {
        this.response = response;
        this.close = close;
        this.release = release;
        Thread thread = new Thread(this::serve, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the number of request heads that were read. */
    int requests() {
        return requests.get();
    }

    /** Returns the number of connections that were opened. */
    int connections() {
        return connections.get();
    }

    private void serve() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                Thread thread = new Thread(() -> serve(socket), "raw-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            while (readHead(socket.getInputStream())) {
                requests.incrementAndGet();
                release.await();
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                if (close) {
                    return;
                }
            }
        } catch (IOException e) {
            // The other side closed the connection, which ends the exchange of the test.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean readHead(InputStream in) throws IOException {
        int matched = 0;
        while (matched < 4) {
            int read = in.read();
            if (read < 0) {
                return false;
            }
            matched = read == "\r\n\r\n".charAt(matched) ? matched + 1 : read == '\r' ? 1 : 0;
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
