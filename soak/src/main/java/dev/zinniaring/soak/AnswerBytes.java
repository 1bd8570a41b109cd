package dev.zinniaring.soak;

import dev.zinniaring.calls.Answer;
import dev.zinniaring.platform.PlatformHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/** Writes an answer as the bytes of a kind, in the steps in which they leave the server. */
final class AnswerBytes {
    private static final int MAX_LATE_MILLIS = 100;
    private static final int MAX_PIECES = 6;
    private static final int MAX_CHUNK_BYTES = 2_000;
    private static final int FAILURE = 500;
    private static final String ID = PlatformHeaders.names().callId();
    private static final List<String> SPOILT_VERSIONS =
            List.of("HTTQ/1.1 ", "HTTP/1.x ", "HTTP/1.1", "HT\0P/1.1 ", "HTTP/1.1 -");
    private static final List<String> OTHER_VERSIONS =
            List.of("HTTP/3.1 ", "HTTP/0.9 ", "HTTP/11.1 ");
    private static final List<String> SPOILT_STATUSES =
            List.of("0$0", "+$0", "-$0", "1$0", "2O0 ", "20 ");
    private static final List<String> SPOILT_HEADERS =
            List.of("\r\nno colon\r\n", "\r\n: x\r\n", "\r\na\0b: x\r\n", "\r\na b: x\r\n");
    private static final List<String> SPOILT_LENGTHS =
            List.of("$1$2x", "$1-$2", "$1+$2", "$1$2\r\n$1 1$2", "$1 1\r\n$1$2");
    private static final List<String> SPOILT_CODINGS =
            List.of("chunkedx", "xchunked", "gzip", "chunked, gzip");
    private static final List<String> SPOILT_SIZES = List.of("-", "+", "g", "0x");
    private static final List<String> CONTROL_BYTES = List.of("\0\0\0", "\u0001\u0002", "\u007f ");
    private static final List<String> LINE_ENDS = List.of("\r\n", "\n", "\r\n\r\n", "\n\r\n");

    /** What a step does to the connection after its bytes. */
    enum End {
        /** Leaves it open. */
        OPEN,
        /** Closes it. */
        CLOSE,
        /** Resets it. */
        RESET
    }

    /**
     * One write.
     *
     * @param afterMillis time since the previous step
     */
    record Step(byte[] bytes, long afterMillis, End end) {}

    /**
     * The writes of one answer.
     *
     * @param beforeNext bytes to send directly before the next answer on the connection
     */
    record Sending(List<Step> steps, byte[] beforeNext) {}

    private enum Framing {
        LENGTH,
        CHUNKED,
        UNTIL_CLOSE
    }

    private final SplittableRandom random;
    private final Answer answer;
    private final List<Step> steps = new ArrayList<>();
    private byte[] beforeNext = new byte[0];

    private AnswerBytes(Answer answer, SplittableRandom random) {
        this.answer = answer;
        this.random = random;
    }

    /** Returns one whole answer in a single write. */
    static Sending plain(Answer answer) {
        AnswerBytes bytes = new AnswerBytes(answer, new SplittableRandom(0));
        bytes.step(bytes.whole(Framing.LENGTH, answer.status(), true));
        return bytes.sending();
    }

    /** Returns the writes of an answer of the given kind. */
    static Sending of(AnswerKind kind, Answer answer, SplittableRandom random) {
        AnswerBytes bytes = new AnswerBytes(answer, random);
        bytes.add(kind);
        return bytes.sending();
    }

    private Sending sending() {
        return new Sending(List.copyOf(steps), beforeNext);
    }

    private void add(AnswerKind kind) {
        Framing keeping = random.nextBoolean() ? Framing.LENGTH : Framing.CHUNKED;
        Framing framing =
                kind == AnswerKind.PLAIN && random.nextInt(6) == 0 ? Framing.UNTIL_CLOSE : keeping;
        byte[] whole = whole(framing, answer.status(), !kind.withoutId());
        long lateMillis = random.nextInt(1, MAX_LATE_MILLIS + 1);
        switch (kind) {
            case PLAIN -> {
                pieces(whole);
                if (framing == Framing.UNTIL_CLOSE) {
                    step(new byte[0], 0, End.CLOSE);
                }
            }
            case FAILURE_WITHOUT_ID -> step(whole);
            case COPY_AT_ONCE -> step(join(whole, whole));
            case COPY_LATE, FAILURE_WITHOUT_ID_TWICE -> {
                pieces(whole);
                step(whole, lateMillis, End.OPEN);
            }
            case COPY_BEFORE_NEXT -> {
                pieces(whole);
                beforeNext = whole;
            }
            case COPY_SPLIT -> {
                int split = random.nextInt(1, whole.length);
                step(join(whole, Arrays.copyOf(whole, split)));
                step(Arrays.copyOfRange(whole, split, whole.length), lateMillis, End.OPEN);
            }
            case OTHER_STATUS -> second(whole, whole(keeping, otherStatus(), true), lateMillis);
            case COPY_WITHOUT_ID ->
                    second(whole, whole(keeping, answer.status(), false), lateMillis);
            case JUNK_AFTER -> second(whole, text("junk\r\n"), lateMillis);
            default -> addImproper(kind, whole);
        }
    }

    private void addImproper(AnswerKind kind, byte[] whole) {
        switch (kind) {
            case CUT_HEAD -> step(Arrays.copyOf(whole, random.nextInt(5, 30)), 0, End.CLOSE);
            case CUT_BODY -> step(cutInBody(whole), 0, End.CLOSE);
            case RESET_BODY -> step(cutInBody(whole), 0, End.RESET);
            case RESET_WITHOUT_LENGTH -> {
                step(whole(Framing.UNTIL_CLOSE, answer.status(), true));
                step(new byte[0], random.nextInt(2) * 20L, End.RESET);
            }
            case SPOILT_STATUS_LINE -> step(spoilt(SPOILT_VERSIONS, whole));
            case LOWER_CASE_PROTOCOL -> step(spoilt(List.of("http/1.1 "), whole));
            case OTHER_VERSION -> step(spoilt(OTHER_VERSIONS, whole));
            case SPOILT_STATUS -> step(edit(whole, "\\d{3} ", pick(SPOILT_STATUSES)));
            case SPOILT_HEADER -> step(edit(whole, "\r\n", pick(SPOILT_HEADERS)));
            case SPOILT_LENGTH -> {
                byte[] sized = whole(Framing.LENGTH, answer.status(), true);
                step(edit(sized, "(Content-Length: )(\\d+)", pick(SPOILT_LENGTHS)), 0, End.CLOSE);
            }
            case SPOILT_CODING -> {
                byte[] chunked = whole(Framing.CHUNKED, answer.status(), true);
                step(edit(chunked, "chunked", pick(SPOILT_CODINGS)), 0, End.CLOSE);
            }
            case SPOILT_CHUNK -> {
                byte[] chunked = whole(Framing.CHUNKED, answer.status(), true);
                String sign = pick(SPOILT_SIZES);
                step(edit(chunked, "\r\n\r\n", "\r\n\r\n" + sign), 0, End.CLOSE);
            }
            case ENCODED -> step(edit(whole, "\r\n", "\r\nContent-Encoding: gzip\r\n"));
            case TWO_IDS -> step(edit(whole, "\r\n", "\r\n" + ID + ": another\r\n"));
            case SPOILT_THEN_COPY -> step(join(spoilt(SPOILT_VERSIONS, whole), whole));
            case CONTROL_BYTES_BEFORE -> before(CONTROL_BYTES, whole);
            case LINE_ENDS_BEFORE -> before(LINE_ENDS, whole);
            case TEXT_BEFORE -> step(join(text("junk"), whole));
            case LINE_OF_TEXT_BEFORE -> step(join(text("junk\r\n"), whole));
            default -> throw new IllegalArgumentException("unknown kind " + kind);
        }
    }

    private int otherStatus() {
        return answer.status() == FAILURE ? 200 : FAILURE;
    }

    private void second(byte[] first, byte[] second, long lateMillis) {
        if (random.nextBoolean()) {
            step(join(first, second));
        } else {
            pieces(first);
            step(second, lateMillis, End.OPEN);
        }
    }

    private void before(List<String> choices, byte[] whole) {
        byte[] junk = text(pick(choices));
        if (random.nextInt(3) == 0) {
            step(junk);
            step(whole, random.nextInt(20), End.OPEN);
        } else {
            step(join(junk, whole));
        }
    }

    private byte[] spoilt(List<String> versions, byte[] whole) {
        return edit(whole, "HTTP/1\\.1 ", pick(versions));
    }

    private String pick(List<String> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    /** Replaces the first match of a pattern. */
    private static byte[] edit(byte[] whole, String pattern, String replacement) {
        String text = new String(whole, StandardCharsets.ISO_8859_1);
        return text(text.replaceFirst(pattern, replacement));
    }

    private byte[] cutInBody(byte[] whole) {
        int headBytes = new String(whole, StandardCharsets.ISO_8859_1).indexOf("\r\n\r\n") + 4;
        return Arrays.copyOf(whole, random.nextInt(headBytes, whole.length));
    }

    private void pieces(byte[] whole) {
        int count = random.nextBoolean() ? 1 : random.nextInt(2, MAX_PIECES + 1);
        int from = 0;
        for (int i = 1; i <= count; i++) {
            int to = i == count ? whole.length : random.nextInt(from, whole.length);
            if (to > from) {
                step(Arrays.copyOfRange(whole, from, to), i == 1 ? 0 : random.nextInt(5), End.OPEN);
            }
            from = to;
        }
    }

    private void step(byte[] bytes) {
        step(bytes, 0, End.OPEN);
    }

    private void step(byte[] bytes, long afterMillis, End end) {
        steps.add(new Step(bytes, afterMillis, end));
    }

    private byte[] whole(Framing framing, int status, boolean withId) {
        StringBuilder head = new StringBuilder();
        head.append("HTTP/1.1 ").append(HttpResponseStatus.valueOf(status)).append("\r\n");
        for (Map.Entry<String, String> header : answer.headers()) {
            String value = value(header.getKey(), header.getValue(), status, withId);
            if (value != null) {
                head.append(header.getKey()).append(": ").append(value).append("\r\n");
            }
        }
        byte[] body = answer.body();
        switch (framing) {
            case LENGTH -> head.append("Content-Length: ").append(body.length).append("\r\n");
            case CHUNKED -> head.append("Transfer-Encoding: chunked\r\n");
            default -> head.append("Connection: close\r\n");
        }
        head.append("\r\n");
        return join(text(head.toString()), framing == Framing.CHUNKED ? chunked(body) : body);
    }

    private static @Nullable String value(String name, String value, int status, boolean withId) {
        if (name.equalsIgnoreCase(ID) && !withId) {
            return null;
        }
        if (name.equalsIgnoreCase(RunTag.HEADER)) {
            return new RunTag(RunTag.parse(value).run(), status).toString();
        }
        return value;
    }

    private byte[] chunked(byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int from = 0; from < body.length; ) {
            int to = Math.min(body.length, from + random.nextInt(1, MAX_CHUNK_BYTES + 1));
            out.writeBytes(text(Integer.toHexString(to - from) + "\r\n"));
            out.write(body, from, to - from);
            out.writeBytes(text("\r\n"));
            from = to;
        }
        out.writeBytes(text("0\r\n\r\n"));
        return out.toByteArray();
    }

    private static byte[] text(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }
}
