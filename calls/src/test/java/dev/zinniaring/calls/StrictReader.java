package dev.zinniaring.calls;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Reads requests by the grammar of RFC 9112 and accepts nothing beyond it. */
public final class StrictReader {
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final Pattern REQUEST_LINE =
            Pattern.compile("(" + TOKEN + ") ([\\x21-\\x7e\\x80-\\xff]+) HTTP/1\\.([01])");
    private static final Pattern HEADER =
            Pattern.compile("(" + TOKEN + "):[ \\t]*([\\t\\x20-\\x7e\\x80-\\xff]*?)[ \\t]*");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,9}");
    private static final Pattern CHUNK =
            Pattern.compile("[ \\t]*([0-9A-Fa-f]{1,7})[ \\t]*(;[\\t\\x20-\\x7e\\x80-\\xff]*)?");

    private final InputStream in;

    /** Thrown if what was read is no request. */
    public static final class NoRequestException extends IOException {
        private static final long serialVersionUID = 1L;

        NoRequestException(String message) {
            super(message);
        }
    }

    /** Creates a reader of the requests on a connection. */
    public StrictReader(InputStream in) {
        this.in = in;
    }

    /**
     * Returns the next request, or null at the end of the connection.
     *
     * @throws NoRequestException if what comes is no request
     */
    public @Nullable WireRequest next() throws IOException {
        String line = line(true);
        while (line != null && line.isEmpty()) {
            line = line(true);
        }
        if (line == null) {
            return null;
        }
        Matcher start = matched(REQUEST_LINE, line);
        List<String[]> headers = headers();
        byte[] body = body(headers, start.group(3).equals("1"));
        return new WireRequest(start.group(1), start.group(2), headers, body);
    }

    private static Matcher matched(Pattern pattern, String line) throws NoRequestException {
        Matcher matcher = pattern.matcher(line);
        if (!matcher.matches()) {
            throw new NoRequestException(line);
        }
        return matcher;
    }

    private List<String[]> headers() throws IOException {
        List<String[]> headers = new ArrayList<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            boolean folded = line.startsWith(" ") || line.startsWith("\t");
            if (folded && !headers.isEmpty()) {
                String[] last = headers.get(headers.size() - 1);
                last[1] = (last[1] + " " + matched(HEADER, "x:" + line).group(2)).trim();
            } else {
                Matcher header = matched(HEADER, line);
                headers.add(new String[] {header.group(1), header.group(2)});
            }
        }
        return headers;
    }

    private byte[] body(List<String[]> headers, boolean chunkable) throws IOException {
        WireRequest head = new WireRequest("", "", headers, new byte[0]);
        List<String> lengths = head.values("Content-Length");
        List<String> codings = head.values("Transfer-Encoding");
        if (head.values("Host").size() > 1) {
            throw new NoRequestException("two hosts");
        }
        if (!codings.isEmpty()) {
            if (!chunkable || !lengths.isEmpty() || codings.size() > 1) {
                throw new NoRequestException("framing " + codings + lengths);
            }
            if (!codings.get(0).equalsIgnoreCase("chunked")) {
                throw new NoRequestException("coding " + codings);
            }
            return chunks();
        }
        if (lengths.isEmpty()) {
            return new byte[0];
        }
        if (lengths.size() > 1) {
            throw new NoRequestException("lengths " + lengths);
        }
        return exactly(Integer.parseInt(matched(LENGTH, lengths.get(0)).group()));
    }

    private byte[] chunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(matched(CHUNK, line()).group(1), 16);
            if (size == 0) {
                headers();
                return body.toByteArray();
            }
            body.write(exactly(size));
            if (!line().isEmpty()) {
                throw new NoRequestException("no line end behind a chunk");
            }
        }
    }

    private byte[] exactly(int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new NoRequestException("end in the body");
        }
        return bytes;
    }

    private String line() throws IOException {
        String line = line(false);
        return line == null ? "" : line;
    }

    private @Nullable String line(boolean first) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\r') {
                if (in.read() != '\n') {
                    throw new NoRequestException("bare CR behind " + line);
                }
                return line.toString(StandardCharsets.ISO_8859_1);
            }
            if (next == '\n') {
                throw new NoRequestException("bare LF behind " + line);
            }
            line.write(next);
        }
        if (first && line.size() == 0) {
            return null;
        }
        throw new NoRequestException("end in a line");
    }
}
