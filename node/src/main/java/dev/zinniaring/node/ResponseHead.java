package dev.zinniaring.node;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * The head of a response, checked line by line as RFC 9112 asks and without its leniencies, which
 * would let stray bytes pass for a part of a response. Lines are given without their line ends.
 *
 * <p>Not thread-safe.
 */
final class ResponseHead {
    /** What follows the head. */
    enum Body {
        NONE,
        FIXED,
        CHUNKED,
        UNTIL_CLOSE
    }

    /** How each status line begins. */
    static final String PREFIX = "HTTP/1.";

    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.([01]) ([1-5][0-9]{2})(?: [\\t\\x20-\\x7e\\x80-\\xff]*)?");
    private static final Pattern HEADER_LINE =
            Pattern.compile("([-!#$%&'*+.^_`|~0-9A-Za-z]+):([\\t\\x20-\\x7e\\x80-\\xff]*)");

    /** Status line of a response that follows one that was cut in its head. */
    private static final Pattern SECOND_STATUS_LINE =
            Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: |$)");

    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,15}");
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final boolean persistentVersion;
    private final int status;
    private boolean chunked;
    private long lengthBytes = -1;

    /**
     * Creates a head from its status line.
     *
     * @throws MalformedResponseException if the line is no status line of HTTP/1.0 or HTTP/1.1
     */
    ResponseHead(String statusLine) throws MalformedResponseException {
        Matcher matcher = matcher(STATUS_LINE, statusLine);
        persistentVersion = matcher.group(1).equals("1");
        status = Integer.parseInt(matcher.group(2));
    }

    /**
     * Adds a header line.
     *
     * @throws MalformedResponseException if the line is malformed, or if the body could end in more
     *     than one place
     */
    void add(String headerLine) throws MalformedResponseException {
        Matcher matcher = headerLine(headerLine);
        String name = matcher.group(1);
        String value = matcher.group(2).trim();
        if (name.equalsIgnoreCase("Content-Length")) {
            if (!LENGTH.matcher(value).matches()) {
                throw new MalformedResponseException("malformed Content-Length");
            }
            lengthBytes = Long.parseLong(value);
        } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
            if (chunked || !persistentVersion || !value.equalsIgnoreCase("chunked")) {
                throw new MalformedResponseException("unsupported Transfer-Encoding");
            }
            chunked = true;
        }
        if (chunked && lengthBytes >= 0) {
            throw new MalformedResponseException("both Content-Length and Transfer-Encoding");
        }
    }

    /** Checks a line of a head or of trailers; its name and value are the groups of the result. */
    static Matcher headerLine(String line) throws MalformedResponseException {
        return matcher(HEADER_LINE, line);
    }

    private static Matcher matcher(Pattern pattern, String line) throws MalformedResponseException {
        Matcher matcher = pattern.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedResponseException("malformed line in the head of a response");
        }
        if (line.indexOf(PREFIX, 1) > 0 && SECOND_STATUS_LINE.matcher(line).find(1)) {
            throw new MalformedResponseException("a response begins in the head of another");
        }
        return matcher;
    }

    /** Returns whether another head follows, as the response is only informational. */
    boolean interim() {
        return status < FIRST_FINAL_STATUS && status != SWITCHING_PROTOCOLS;
    }

    /** Returns the length of a fixed body. */
    long lengthBytes() {
        return lengthBytes;
    }

    /** Returns what follows this head of a response to a request with the given method. */
    Body body(@Nullable String method) {
        if ("HEAD".equals(method) || status == NO_CONTENT || status == NOT_MODIFIED) {
            return Body.NONE;
        }
        if (chunked) {
            return Body.CHUNKED;
        }
        if (lengthBytes < 0) {
            return Body.UNTIL_CLOSE;
        }
        return lengthBytes == 0 ? Body.NONE : Body.FIXED;
    }
}
