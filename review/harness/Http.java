import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One HTTP/1.1 message, and a client connection that sends one request at a time. */
final class Http {
    /** A message: its first line, its headers as received, and its body. */
    record Message(String first, List<String[]> headers, byte[] body) {
        String header(String name) {
            for (String[] h : headers) {
                if (h[0].equalsIgnoreCase(name)) {
                    return h[1];
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String word(int index) {
            return first.split(" ")[index];
        }
    }

    private Http() {}

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) >= 0) {
            if (b == '\n') {
                String text = out.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            out.write(b);
        }
        if (out.size() > 0) {
            throw new IOException("closed in a line");
        }
        return null;
    }

    /** Reads a message; null if the connection was closed before its first byte. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        List<String[]> headers = new ArrayList<>();
        int length = 0;
        boolean chunked = false;
        while (true) {
            String text = line(in);
            if (text == null) {
                throw new IOException("closed in the head");
            }
            if (text.isEmpty()) {
                break;
            }
            int colon = text.indexOf(':');
            String name = text.substring(0, colon).trim();
            String value = text.substring(colon + 1).trim();
            headers.add(new String[] {name, value});
            if (name.equalsIgnoreCase("content-length")) {
                length = Integer.parseInt(value);
            }
            chunked |= name.equalsIgnoreCase("transfer-encoding") && value.equalsIgnoreCase("chunked");
        }
        if (chunked) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).trim(), 16);
                body.write(exactly(in, size));
                line(in);
                if (size == 0) {
                    return new Message(first, headers, body.toByteArray());
                }
            }
        }
        return new Message(first, headers, exactly(in, length));
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("closed in the body");
        }
        return bytes;
    }

    /** A client connection. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Connection(String address, int timeoutMillis) throws IOException {
            int colon = address.indexOf(':');
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
                            Integer.parseInt(address.substring(colon + 1))), 1_000);
            socket.setSoTimeout(timeoutMillis);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String head, byte[] body) throws IOException {
            StringBuilder text = new StringBuilder(head);
            if (body.length > 0 || head.startsWith("POST") || head.startsWith("PUT")) {
                text.append("Content-Length: ").append(body.length).append("\r\n");
            }
            text.append("\r\n");
            out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
            for (int from = 0; from < body.length; from += 65_536) {
                out.write(body, from, Math.min(65_536, body.length - from));
            }
            out.flush();
        }

        Message receive() throws IOException {
            return read(in);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Nothing is left to do.
            }
        }
    }

    /** Sends one request on a connection of its own. */
    static Message once(String address, String head, byte[] body, int timeoutMillis) throws IOException {
        try (Connection connection = new Connection(address, timeoutMillis)) {
            connection.send(head, body);
            return connection.receive();
        }
    }
}
