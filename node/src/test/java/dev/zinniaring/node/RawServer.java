package dev.zinniaring.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * A backend server that reads the head of each request, writes the given bytes and optionally
 * closes the connection. In these, {@code {id}} stands for the id of the call and {@code {before}}
 * for that of the call before it on the connection.
 */
final class RawServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final List<String> responses;
    private final boolean close;
    private final CountDownLatch release;

    RawServer(String response, boolean close) throws IOException {
        this(List.of(response), close);
    }

    /** Creates a server that answers with each of the given responses in turn, then the last. */
    RawServer(List<String> responses, boolean close) throws IOException {
        this(responses, close, new CountDownLatch(0));
    }

    /** Starts a server that holds each request until the latch is released. */
    RawServer(String response, boolean close, CountDownLatch release) throws IOException {
        this(List.of(response), close, release);
    }

    private RawServer(List<String> responses, boolean close, CountDownLatch release)
            throws IOException {
        this.responses = List.copyOf(responses);
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
        String before = "";
        try (socket) {
            String head = readHead(socket.getInputStream());
            while (head != null) {
                String callId = header(head, "Zinniaring-Call-Id");
                int index = Math.min(requests.getAndIncrement(), responses.size() - 1);
                release.await();
                String response =
                        responses.get(index).replace("{id}", callId).replace("{before}", before);
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                if (close) {
                    return;
                }
                before = callId;
                head = readHead(socket.getInputStream());
            }
        } catch (IOException e) {
            // The other side closed the connection, which ends the exchange of the test.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads a request with its body; returns its head, or null at the end of the connection. */
    static @Nullable String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        in.skipNBytes(Long.parseLong("0" + header(head, "Content-Length")));
        return head.toString();
    }

    /** Returns the value of a header, or an empty string if it is absent. */
    static String header(CharSequence head, String name) {
        Matcher matcher = Pattern.compile("(?i)\r\n" + name + ": *([^\r]*)").matcher(head);
        return matcher.find() ? matcher.group(1) : "";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
