package dev.zinniaring.calls;

import io.netty.buffer.ByteBuf;
import io.netty.util.AsciiString;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;

/**
 * Checks the head of an answer, line by line as it arrives, against the grammar of HTTP/1.1 (RFC
 * 9112, sections 4 and 5). The decoder skips or corrects some deviations, so that bytes that are no
 * answer could pass for one. A head in which a status line begins is rejected although the grammar
 * allows it, since an answer that broke off has run into another one there.
 */
final class AnswerHead {
    private static final AsciiString VERSION = AsciiString.cached("HTTP/1.");
    private static final AsciiString PROTOCOL = AsciiString.cached("http/");
    private static final AsciiString TOKEN_SYMBOLS = AsciiString.cached("!#$%&'*+-.^_`|~");
    private static final int STATUS_AT = 9;
    private static final int REASON_AT = 12;

    private int checkedBytes;
    private int scannedBytes;
    private boolean statusLineChecked;

    /** State of a head. */
    enum State {
        /** More bytes may make it a valid head. */
        INCOMPLETE,
        /** It is complete and valid. */
        VALID,
        /** No further bytes can make it valid. */
        INVALID
    }

    /**
     * Checks the readable bytes, which start with the first byte of the head and contain those of
     * the last call.
     */
    State check(ByteBuf bytes) {
        int start = bytes.readerIndex();
        int end = bytes.writerIndex();
        if (!statusLineChecked && !isStatusLineStart(bytes, start, end)) {
            return State.INVALID;
        }
        while (true) {
            int line = start + checkedBytes;
            int lineFeed = bytes.indexOf(start + scannedBytes, end, (byte) '\n');
            if (lineFeed < 0) {
                scannedBytes = end - start;
                return State.INCOMPLETE;
            }
            int lineEnd = lineFeed - 1;
            if (lineEnd < line || bytes.getByte(lineEnd) != '\r') {
                return State.INVALID;
            }
            checkedBytes = lineFeed + 1 - start;
            scannedBytes = checkedBytes;
            if (statusLineChecked && lineEnd == line) {
                reset();
                return State.VALID;
            }
            if (!(statusLineChecked
                    ? isHeaderLine(bytes, line, lineEnd)
                    : isStatusLine(bytes, line, lineEnd))) {
                return State.INVALID;
            }
            statusLineChecked = true;
        }
    }

    private void reset() {
        checkedBytes = 0;
        scannedBytes = 0;
        statusLineChecked = false;
    }

    /**
     * Returns the index at which a status line begins, or -1 if none does.
     *
     * @param end index after the last byte
     */
    static int indexOfStatusLine(ByteBuf bytes, int from, int end) {
        for (int at = bytes.indexOf(from, end, VERSION.byteAt(0));
                at >= 0 && end - at >= REASON_AT;
                at = bytes.indexOf(at + 1, end, VERSION.byteAt(0))) {
            if (isStatusLineStart(bytes, at, at + REASON_AT)) {
                return at;
            }
        }
        return -1;
    }

    private static boolean isStatusLineStart(ByteBuf bytes, int start, int end) {
        int count = Math.min(end - start, REASON_AT + 1);
        for (int i = 0; i < count; i++) {
            if (!mayStand(bytes.getByte(start + i), i)) {
                return false;
            }
        }
        return true;
    }

    private static boolean mayStand(byte found, int position) {
        if (position < VERSION.length()) {
            return found == VERSION.byteAt(position);
        }
        if (position == VERSION.length()) {
            return found == '0' || found == '1';
        }
        if (position < STATUS_AT) {
            return found == ' ';
        }
        if (position < REASON_AT) {
            return position == STATUS_AT ? found >= '1' && found <= '5' : isDigit(found);
        }
        return found == ' ' || found == '\r';
    }

    private static boolean isStatusLine(ByteBuf bytes, int start, int end) {
        return end - start >= REASON_AT
                && isText(bytes, start + REASON_AT, end)
                && !isSwitch(bytes, start)
                && !namesProtocol(bytes, start + REASON_AT, end);
    }

    /** Returns whether the status is 101, which only an answer to an upgrade may have. */
    private static boolean isSwitch(ByteBuf bytes, int start) {
        return bytes.getByte(start + STATUS_AT) == '1'
                && bytes.getByte(start + STATUS_AT + 1) == '0'
                && bytes.getByte(start + STATUS_AT + 2) == '1';
    }

    /** Returns whether a reason phrase contains the start of any status line, also a spoilt one. */
    private static boolean namesProtocol(ByteBuf bytes, int start, int end) {
        String reason = bytes.toString(start, end - start, StandardCharsets.US_ASCII);
        return AsciiString.indexOfIgnoreCaseAscii(reason, PROTOCOL, 0) >= 0;
    }

    private static boolean isHeaderLine(ByteBuf bytes, int start, int end) {
        int colon = bytes.indexOf(start, end, (byte) ':');
        return colon > start
                && bytes.forEachByte(start, colon - start, AnswerHead::isTokenByte) < 0
                && isText(bytes, colon + 1, end)
                && indexOfStatusLine(bytes, colon + 1, end) < 0;
    }

    private static boolean isTokenByte(byte found) {
        return (found >= 'a' && found <= 'z')
                || (found >= 'A' && found <= 'Z')
                || isDigit(found)
                || TOKEN_SYMBOLS.indexOf((char) found, 0) >= 0;
    }

    private static boolean isText(ByteBuf bytes, int start, int end) {
        ByteProcessor text = found -> found == '\t' || (found & 0xff) >= ' ' && found != 0x7f;
        return bytes.forEachByte(start, end - start, text) < 0;
    }

    private static boolean isDigit(byte found) {
        return found >= '0' && found <= '9';
    }
}
