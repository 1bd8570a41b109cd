package dev.zinniaring.node;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Finds the end of an HTTP/1.x response in the byte stream of a connection, so that bytes after it
 * are not read as the next response, and rejects bytes that are no response.
 */
final class ResponseFraming {
    private static final int MAX_HEAD_BYTES = 256 * 1024;
    private static final Pattern CHUNK_SIZE =
            Pattern.compile("([0-9A-Fa-f]{1,15})[\\t ]*(?:;[\\t\\x20-\\x7e\\x80-\\xff]*)?");

    private enum State {
        STATUS_LINE,
        HEADERS,
        FIXED,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        UNTIL_CLOSE,
        DONE
    }

    private final StringBuilder line = new StringBuilder();
    private State state = State.DONE;
    private String method = "";
    private @Nullable ResponseHead head;
    private int parsedBytes;
    private long leftBytes;

    /** Prepares for the response to a request with the given method. */
    void begin(String sentMethod) {
        method = sentMethod;
        line.setLength(0);
        parsedBytes = 0;
        state = State.STATUS_LINE;
    }

    boolean done() {
        return state == State.DONE;
    }

    /** Returns the number of following bytes that need no parsing, as they are body data. */
    long bodyBytes() {
        return switch (state) {
            case FIXED, CHUNK_DATA -> leftBytes;
            case UNTIL_CLOSE -> Long.MAX_VALUE;
            default -> 0;
        };
    }

    /** Skips body data, at most {@link #bodyBytes()}. */
    void skip(long bytes) {
        if (state == State.UNTIL_CLOSE) {
            return;
        }
        leftBytes -= bytes;
        if (leftBytes == 0) {
            state = state == State.CHUNK_DATA ? State.CHUNK_END : State.DONE;
        }
    }

    /**
     * Parses one byte that is not body data.
     *
     * @throws MalformedResponseException if it can't be a part of a response
     */
    void parse(byte next) throws MalformedResponseException {
        parsedBytes++;
        if (parsedBytes > MAX_HEAD_BYTES) {
            throw new MalformedResponseException("head longer than " + MAX_HEAD_BYTES + " bytes");
        }
        if (next != '\n') {
            line.append((char) (next & 0xff));
            checkBeginning();
            return;
        }
        int end = line.length() - 1;
        if (end < 0 || line.charAt(end) != '\r') {
            throw new MalformedResponseException("line feed without a carriage return");
        }
        String text = line.substring(0, end);
        line.setLength(0);
        endLine(text);
    }

    /** Rejects a line at its first wrong byte where bytes without a line end may be received. */
    private void checkBeginning() throws MalformedResponseException {
        String expected =
                switch (state) {
                    case STATUS_LINE -> ResponseHead.PREFIX;
                    case CHUNK_END -> "\r";
                    default -> "";
                };
        int length = line.length();
        boolean tooLong = state == State.CHUNK_END && length > 1;
        if (tooLong
                || (length <= expected.length()
                        && expected.charAt(length - 1) != line.charAt(length - 1))) {
            throw new MalformedResponseException("unexpected bytes in place of a line");
        }
    }

    private void endLine(String text) throws MalformedResponseException {
        switch (state) {
            case STATUS_LINE -> {
                head = new ResponseHead(text);
                state = State.HEADERS;
            }
            case HEADERS -> header(text);
            case CHUNK_SIZE -> chunkSize(text);
            case CHUNK_END -> {
                parsedBytes = 0;
                state = State.CHUNK_SIZE;
            }
            case TRAILERS -> {
                if (text.isEmpty()) {
                    state = State.DONE;
                } else {
                    ResponseHead.headerLine(text);
                }
            }
            default -> throw new IllegalStateException("unexpected line in state " + state);
        }
    }

    private void header(String text) throws MalformedResponseException {
        ResponseHead known = head;
        if (known == null) {
            throw new IllegalStateException("header line without a status line");
        }
        if (!text.isEmpty()) {
            known.add(text);
            return;
        }
        head = null;
        state = known.interim() ? State.STATUS_LINE : afterHead(known);
    }

    private State afterHead(ResponseHead known) {
        return switch (known.body(method)) {
            case NONE -> State.DONE;
            case FIXED -> {
                leftBytes = known.lengthBytes();
                yield State.FIXED;
            }
            case CHUNKED -> State.CHUNK_SIZE;
            case UNTIL_CLOSE -> State.UNTIL_CLOSE;
        };
    }

    private void chunkSize(String text) throws MalformedResponseException {
        Matcher matcher = CHUNK_SIZE.matcher(text);
        if (!matcher.matches()) {
            throw new MalformedResponseException("malformed size of a chunk");
        }
        leftBytes = Long.parseLong(matcher.group(1), 16);
        state = leftBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
    }
}
