package dev.zinniaring.calls;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws what clients send on a connection: requests of which some are framed in a way that two
 * readers may take for different things, or hide a second request. The same seed draws the same.
 */
public final class DoubtfulRequests {
    private static final String ID = "Zinniaring-Call-Id: ";

    private static final List<String> METHODS =
            List.of("GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD", "get", "M-SEARCH");

    private static final List<String> ODD_METHODS =
            List.of("GE T", "P\u00f6ST", "G(T", "\0GET", "");

    private static final List<String> PROPER_TARGETS = List.of("x", "x?y=1", "a/b/?c=%20d&e");

    private static final List<String> TARGETS =
            List.of(
                    "x",
                    "x?y=1",
                    "?",
                    "a//b",
                    "./x",
                    "a|b",
                    "a\\b",
                    "{\"<^>\"}",
                    "x#y",
                    "%2e%2e/x",
                    "%00",
                    "~!$&'()*+,;=:@",
                    "%zz",
                    "a?b?c");

    private static final List<String> ODD_TARGETS =
            List.of("a b", "a\tb", "a\u0000b", "\u007f", "a\rb", "x HTTP/1.1\r\nA: b", "a\u000bb");

    private static final List<String> HIGH_TARGETS =
            List.of("caf\u00c3\u00a9", "caf\u00e9", "\u00ff\u00fe?\u0080", "\u00a0", "\u0085x");

    private static final List<String> OPTIONS =
            List.of(
                    "Zinniaring-Caller",
                    "zinniaring-call-id, Zinniaring-Deadline-Ms",
                    "Host",
                    "keep-alive, Content-Length, Transfer-Encoding",
                    "Zinniaring-Expect-Server,Zinniaring-Owner-Hop ,, Zinniaring-Rank");

    private static final List<String> ODD_HEADERS =
            List.of(
                    "Zinniaring-Caller: forged",
                    "zinniaring-caller: forged\r\nZINNIARING-CALLER: again",
                    "Zinniaring-Expect-Server: i9",
                    "Zinniaring-Owner-Hop: i9",
                    "Zinniaring-Rank: -7",
                    "Zinniaring-Caller : forged",
                    "Host: other",
                    "X-Folded: a\r\n b",
                    "X-Folded: a\r\n Transfer-Encoding: chunked",
                    " X-Early: 1",
                    "X(: 1",
                    ": 1",
                    "no colon",
                    "X-Low: a\u0001b",
                    "X-Null: a\u0000b",
                    "X-High: \u00e9\u00ff",
                    "X-Cr: a\rContent-Length: 7",
                    "X-Lf: a\nContent-Length: 7",
                    "Sec-WebSocket-Key1: 1\r\nSec-WebSocket-Key2: 2",
                    "Upgrade: h2c\r\nHTTP2-Settings: AA");

    private static final List<String> DEADLINES =
            List.of("1500", "900", "99999999999999999999", "later", "", "1e9", "1500, 9", "2500");

    /** Values of {@code Content-Length}, where {@code #} stands for the length of the body. */
    private static final List<String> LENGTHS =
            List.of("#", "#", "+#", "0#", "-#", "#,#", "#, 3", "#;", "0x#", "# 1", "", "#\r\nCL: 0")
                    .stream()
                    .map(value -> value.replace("CL", "Content-Length"))
                    .toList();

    private static final List<String> CODINGS =
            List.of(
                    "chunked",
                    "Chunked",
                    "xchunked",
                    "x, chunked",
                    "chunked, x",
                    "chunked, chunked",
                    "chunked\r\nTransfer-Encoding: identity",
                    "identity\r\nTransfer-Encoding: chunked",
                    "gzip, chunked",
                    "chunked;q=1",
                    "\"chunked\"",
                    "",
                    ", chunked",
                    "chunked,",
                    "\u000bchunked",
                    "chunked\u0000",
                    "identity",
                    "\r\n chunked");

    /** Formats of a chunk's size and data: {@code #} stands for the size and {@code @} for both. */
    private static final List<String> CHUNKS =
            List.of(
                    "#\r\n@\r\n",
                    "000#\r\n@\r\n",
                    "#;a=b\r\n@\r\n",
                    "#;a=\"b;c\"\r\n@\r\n",
                    "# ;a\r\n@\r\n",
                    "#;a\nb\r\n@\r\n",
                    "# \r\n@\r\n",
                    " #\r\n@\r\n",
                    "+#\r\n@\r\n",
                    "-#\r\n@\r\n",
                    "0x#\r\n@\r\n",
                    "#g\r\n@\r\n",
                    "\r\n@\r\n",
                    "#\n@\r\n",
                    "#\r\n@\n",
                    "#\r\n@XX\r\n",
                    "#\r\n@",
                    "FFFFFFFFFFFFFFFF#\r\n@\r\n");

    private static final List<String> ENDS =
            List.of(
                    "0\r\n\r\n",
                    "0\r\n\r\n",
                    "00\r\n\r\n",
                    "0\r\nX-Last: 1\r\n\r\n",
                    "0\r\nbad\r\n\r\n");

    private static final List<String> ODD_VERSIONS =
            List.of("HTTP/1.0", "HTTP/2.0", "HTTP/1.10", "");

    private final SplittableRandom random;
    private final String prefix;
    private final boolean highBytes;
    private int drawn;

    /**
     * What one connection carries.
     *
     * @param proper whether nothing about it is doubtful, so that it has to be served
     */
    public record Sent(byte[] bytes, boolean proper) {}

    /**
     * Creates a generator.
     *
     * @param prefix the path below which all targets lie
     * @param highBytes whether targets may hold bytes over 0x7F
     */
    public DoubtfulRequests(long seed, String prefix, boolean highBytes) {
        random = new SplittableRandom(seed);
        this.prefix = prefix;
        this.highBytes = highBytes;
    }

    private String one(List<String> values) {
        return values.get(random.nextInt(values.size()));
    }

    private boolean in(int count) {
        return random.nextInt(count) == 0;
    }

    /** Draws the bytes of the next connection; the last request in them asks to close it. */
    public Sent next(String id) {
        drawn++;
        boolean proper = drawn % 8 == 0;
        String last =
                "GET %slast HTTP/1.1\r\nHost: h\r\n%s%s-last\r\nConnection: close\r\n\r\n"
                        .formatted(prefix, ID, id);
        String text = (proper ? properRequest(id) : request(id)) + last;
        return new Sent(text.getBytes(StandardCharsets.ISO_8859_1), proper);
    }

    private String properRequest(String id) {
        String body = "b".repeat(random.nextInt(64));
        String head =
                "POST %s%s HTTP/1.1\r\nHost: h\r\n%s%s\r\n"
                        .formatted(prefix, one(PROPER_TARGETS), ID, id);
        return in(2)
                ? head + "Content-Length: %d\r\n\r\n%s".formatted(body.length(), body)
                : head + "Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n".formatted(chunk(body, 0));
    }

    private String request(String id) {
        StringBuilder head = new StringBuilder(in(20) ? one(ODD_METHODS) : one(METHODS));
        head.append(' ').append(prefix).append(target());
        head.append(' ').append(in(12) ? one(ODD_VERSIONS) : "HTTP/1.1");
        head.append(in(40) ? "\n" : "\r\n");
        head.append("Host: h\r\n").append(ID).append(id).append("\r\n");
        if (in(3)) {
            head.append("Connection: ").append(one(OPTIONS)).append("\r\n");
        }
        if (in(3)) {
            head.append("Zinniaring-Deadline-Ms: ").append(one(DEADLINES)).append("\r\n");
        }
        if (in(2)) {
            head.append(one(ODD_HEADERS)).append("\r\n");
        }
        return head + framed(body(id));
    }

    private String target() {
        if (highBytes && in(4)) {
            return one(HIGH_TARGETS);
        }
        return in(12) ? one(ODD_TARGETS) : one(TARGETS);
    }

    /** Returns a body that is often a request itself, which must not be taken for one. */
    private String body(String id) {
        return switch (random.nextInt(4)) {
            case 0 -> "";
            case 1 -> "b".repeat(1 + random.nextInt(40));
            default ->
                    "POST %shidden HTTP/1.1\r\nHost: h\r\n%s%s-hidden\r\nContent-Length: 0\r\n\r\n"
                            .formatted(prefix, ID, id);
        };
    }

    private String framed(String body) {
        String length = "Content-Length: " + one(LENGTHS).replace("#", "" + body.length()) + "\r\n";
        String coding = "Transfer-Encoding: " + one(CODINGS) + "\r\n";
        return switch (random.nextInt(8)) {
            case 0 -> "\r\n" + body;
            case 1, 2 -> length + "\r\n" + body;
            case 3 -> length + coding + "\r\n" + chunks(body);
            case 4 -> coding + length + "\r\n" + body;
            case 5 -> "Transfer-Encoding : chunked\r\nContent-Length: 3\r\n\r\n" + chunks(body);
            case 6 -> "Transfer-Encoding: chunked\r\n\r\n" + chunks(body);
            default -> coding + "\r\n" + chunks(body);
        };
    }

    private String chunks(String body) {
        int cut = random.nextInt(body.length() + 1);
        int odd = random.nextInt(2 * CHUNKS.size());
        String first = chunk(body.substring(0, cut), odd < CHUNKS.size() ? odd : 0);
        return first + chunk(body.substring(cut), 0) + one(ENDS);
    }

    private static String chunk(String data, int format) {
        return data.isEmpty()
                ? ""
                : CHUNKS.get(format)
                        .replace("#", Integer.toHexString(data.length()))
                        .replace("@", data);
    }
}
