package dev.zinniaring.soak;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.platform.PlatformHeaders;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ProtocolException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A caller's connection to a node, for one call at a time. It accepts only answers that keep to the
 * protocol in each byte.
 */
final class CallConnection implements AutoCloseable {
    private static final int CONNECT_MILLIS = 1_000;
    private static final int PEEK_MILLIS = 2;
    private static final int MAX_LINE_BYTES = 16_384;
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.1 (\\d{3}) [^\\x00-\\x1f]*");

    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern NUMBER = Pattern.compile("[0-9a-fA-F]{1,7}");

    /** Headers, in lower case, of which an answer has one value. */
    private static final Set<String> SINGLE =
            Set.of(
                    "content-length",
                    PlatformHeaders.names().callId().toLowerCase(Locale.ROOT),
                    RunTag.HEADER.toLowerCase(Locale.ROOT));

    private final Socket socket = new Socket();
    private final InetSocketAddress node;
    private final Clock clock;
    private InputStream in = InputStream.nullInputStream();
    private long readUntilNanos;

    /**
     * An answer.
     *
     * @param headers headers by their names, whatever their case
     */
    record Received(int status, Map<String, String> headers, String body) {
        /** Returns the value of a header; empty if it is missing. */
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        boolean closes() {
            return header("Connection").toLowerCase(Locale.ROOT).contains("close")
                    || !(headers.containsKey("Content-Length")
                            || headers.containsKey("Transfer-Encoding"));
        }
    }

    CallConnection(InetSocketAddress node, Clock clock) {
        this.node = node;
        this.clock = clock;
    }

    void open() throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(node, CONNECT_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /**
     * Sends a request and returns its answer.
     *
     * @throws ProtocolException if what arrives is no answer
     * @throws SocketTimeoutException if there is no whole answer in time
     */
    Received exchange(String request, long timeoutMillis) throws IOException {
        readUntilNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        String statusLine = line();
        Matcher matcher = STATUS_LINE.matcher(statusLine);
        if (!matcher.matches()) {
            throw new ProtocolException("status line \"" + statusLine + "\"");
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String header = line(); !header.isEmpty(); header = line()) {
            int colon = header.indexOf(':');
            if (colon < 1) {
                throw new ProtocolException("header \"" + header + "\"");
            }
            String name = header.substring(0, colon);
            String value = header.substring(colon + 1).strip();
            String before = headers.put(name, value);
            if (!TOKEN.matcher(name).matches()
                    || (SINGLE.contains(name.toLowerCase(Locale.ROOT))
                            && before != null
                            && !before.equals(value))) {
                throw new ProtocolException("header \"" + header + "\"");
            }
        }
        if (matcher.group(1).startsWith("2") && headers.containsKey("Content-Encoding")) {
            throw new ProtocolException("body with a coding");
        }
        return new Received(Integer.parseInt(matcher.group(1)), headers, body(headers));
    }

    private String body(Map<String, String> headers) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = headers.get("Content-Length");
        if (length != null) {
            read(number(length, 10), body);
        } else if (headers.containsKey("Transfer-Encoding")) {
            if (!headers.get("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                throw new ProtocolException("transfer coding " + headers);
            }
            for (int size = number(line(), 16); size > 0; size = number(line(), 16)) {
                read(size, body);
                endOfLine();
            }
            endOfLine();
        } else {
            for (int next = readByte(); next >= 0; next = readByte()) {
                body.write(next);
            }
        }
        return body.toString(StandardCharsets.ISO_8859_1);
    }

    private static int number(String text, int radix) throws ProtocolException {
        if (!NUMBER.matcher(text).matches()) {
            throw new ProtocolException("number \"" + text + "\"");
        }
        return Integer.parseInt(text, radix);
    }

    private void endOfLine() throws IOException {
        String rest = line();
        if (!rest.isEmpty()) {
            throw new ProtocolException("chunk ends with \"" + rest + "\"");
        }
    }

    private void read(int bytes, ByteArrayOutputStream body) throws IOException {
        for (int i = 0; i < bytes; i++) {
            body.write(required());
        }
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = required(); next != '\n'; next = required()) {
            line.append((char) next);
            if (line.length() > MAX_LINE_BYTES) {
                throw new ProtocolException("endless line");
            }
        }
        int last = line.length() - 1;
        if (last < 0 || line.charAt(last) != '\r') {
            throw new ProtocolException("line \"" + line + "\" without CR");
        }
        return line.substring(0, last);
    }

    private int required() throws IOException {
        int next = readByte();
        if (next < 0) {
            throw new EOFException("closed in an answer");
        }
        return next;
    }

    private int readByte() throws IOException {
        if (in.available() == 0) {
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(readUntilNanos - clock.nanos());
            if (leftMillis <= 0) {
                throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) leftMillis);
        }
        return in.read();
    }

    /**
     * Returns whether the node has left the idle connection open.
     *
     * @throws ProtocolException if bytes have arrived, which answer no call
     */
    boolean reusable() throws IOException {
        try {
            readUntilNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(PEEK_MILLIS);
            if (readByte() >= 0) {
                throw new ProtocolException("bytes on an idle connection");
            }
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    /** Closes the connection; a call on it fails. */
    @Override
    public void close() throws IOException {
        socket.close();
    }
}
