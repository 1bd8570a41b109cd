package dev.zinniaring.calls;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Backend server that records what a {@link StrictReader} reads and answers each request. */
public final class StrictServer implements AutoCloseable {
    private final ServerSocket port = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Queue<WireRequest> requests = new ConcurrentLinkedQueue<>();
    private final Queue<String> malformed = new ConcurrentLinkedQueue<>();

    /** Starts the server on a free port. */
    public StrictServer() throws IOException {
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "strict-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address of the server. */
    public InetSocketAddress address() {
        return (InetSocketAddress) port.getLocalSocketAddress();
    }

    /** Returns the requests that were read. */
    public Queue<WireRequest> requests() {
        return requests;
    }

    /** Returns what the server got that was no request. */
    public Queue<String> malformed() {
        return malformed;
    }

    private void accept() {
        while (!port.isClosed()) {
            try {
                Socket socket = port.accept();
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            StrictReader reader =
                    new StrictReader(new BufferedInputStream(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            for (WireRequest next = reader.next(); next != null; next = reader.next()) {
                requests.add(next);
                String answer =
                        "HTTP/1.1 200 OK\r\nZinniaring-Call-Id: %s\r\nContent-Length: 0\r\n\r\n";
                out.write(
                        answer.formatted(next.header("Zinniaring-Call-Id"))
                                .getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (StrictReader.NoRequestException e) {
            malformed.add(e.getMessage());
        } catch (IOException e) {
            // The connection was closed by the node.
        }
    }

    @Override
    public void close() throws IOException {
        port.close();
    }
}
