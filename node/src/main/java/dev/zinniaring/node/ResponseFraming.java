package dev.zinniaring.node;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Finds the end of an HTTP/1.1 response in the byte stream of a connection, so that bytes after it
 * are not read as the next response. Parses the framing only; the HTTP client validates the rest.
 */
final class ResponseFraming {
    private static final int MAX_HEAD_BYTES = 256 * 1024;
    private static final int LINE_FEED = '\n';

    private enum State {
        HEAD,
        FIXED,
        CHUNK_SIZE,
        CHUNK_DATA,
        TRAILER,
        UNTIL_CLOSE,
        DONE
    }

    private final StringBuilder text = new StringBuilder();
    private State state = State.DONE;
    private boolean bodiless;
    private long left;

    /** Prepares for the response to a request with the given method. */
    void begin(String method) {
        bodiless = method.equals("HEAD");
        text.setLength(0);
        state = State.HEAD;
    }

    boolean done() {
        return state == State.DONE;
    }

    /** Returns the number of following bytes that need no parsing, as they are body data. */
    long bodyBytes() {
        return switch (state) {
            case FIXED, CHUNK_DATA -> left;
            case UNTIL_CLOSE -> Long.MAX_VALUE;
            default -> 0;
        };
    }

    /** Skips body data, at most {@link #bodyBytes()}. */
    void skip(long bytes) {
        if (state == State.UNTIL_CLOSE) {
            return;
        }
        left -= bytes;
        if (left == 0) {
            state = state == State.CHUNK_DATA ? State.CHUNK_SIZE : State.DONE;
        }
    }

    /** Parses one byte that is not body data. */
    void parse(byte next) {
        text.append((char) (next & 0xff));
        if (next == LINE_FEED) {
            line();
        } else if (text.length() > MAX_HEAD_BYTES) {
            state = State.UNTIL_CLOSE;
        }
    }

    private void line() {
        switch (state) {
            case HEAD -> {
                if (endsWithEmptyLine()) {
                    headEnded(text.toString());
                    text.setLength(0);
                }
            }
            case CHUNK_SIZE -> {
                chunkSize(text.toString().trim());
                text.setLength(0);
            }
            case TRAILER -> {
                if (text.toString().isBlank()) {
                    state = State.DONE;
                }
                text.setLength(0);
            }
            default -> throw new IllegalStateException("unexpected line in state " + state);
        }
    }

    private boolean endsWithEmptyLine() {
        int end = text.length() - 1;
        int before = end > 0 && text.charAt(end - 1) == '\r' ? end - 2 : end - 1;
        return before >= 0 && text.charAt(before) == LINE_FEED;
    }

    private void headEnded(String head) {
        String[] lines = head.split("\r?\n");
        int status = status(lines[0]);
        if (status / 100 == 1 && status != 101) {
            return;
        }
        boolean chunked = false;
        long length = -1;
        for (String header : lines) {
            int colon = header.indexOf(':');
            String name = colon < 0 ? "" : header.substring(0, colon).toLowerCase(Locale.ROOT);
            String value = header.substring(colon + 1).trim();
            if (name.equals("content-length")) {
                length = number(value, 10);
            }
            chunked |= name.equals("transfer-encoding") && value.equalsIgnoreCase("chunked");
        }
        body(status, chunked, length);
    }

    private void body(int status, boolean chunked, long length) {
        if (bodiless || status == 204 || status == 304 || (!chunked && length == 0)) {
            state = State.DONE;
        } else if (chunked) {
            state = State.CHUNK_SIZE;
        } else if (length > 0) {
            left = length;
            state = State.FIXED;
        } else {
            state = State.UNTIL_CLOSE;
        }
    }

    private void chunkSize(String line) {
        int semicolon = line.indexOf(';');
        long size = number(semicolon < 0 ? line : line.substring(0, semicolon).trim(), 16);
        if (size == 0) {
            state = State.TRAILER;
        } else if (size > 0) {
            // Includes the CRLF after the chunk data.
            left = size + 2;
            state = State.CHUNK_DATA;
        } else {
            state = State.UNTIL_CLOSE;
        }
    }

    private static int status(String line) {
        String[] words = line.split(" ", 3);
        return words.length < 2 ? 0 : (int) Math.max(0, number(words[1], 10));
    }

    private static long number(String digits, int radix) {
        byte[] bytes = digits.getBytes(StandardCharsets.ISO_8859_1);
        if (bytes.length == 0 || bytes.length > 15) {
            return -1;
        }
        long value = 0;
        for (byte digit : bytes) {
            int digitValue = Character.digit(digit, radix);
            if (digitValue < 0) {
                return -1;
            }
            value = value * radix + digitValue;
        }
        return value;
    }
}
