package dev.zinniaring.calls;

import io.netty.buffer.ByteBuf;
import io.netty.util.AsciiString;
import io.netty.util.ByteProcessor;

/**
 * Checks the head of an answer against the grammar of HTTP/1.1 (RFC 9112, sections 4 and 5). The
 * decoder skips or corrects some deviations, so that bytes that are no answer could pass for one.
 */
final class AnswerHead {
    private static final AsciiString VERSION = AsciiString.cached("HTTP/1.");
    private static final int STATUS_AT = 9;
    private static final int REASON_AT = 12;
    private static final AsciiString TOKEN_SYMBOLS = AsciiString.cached("!#$%&'*+-.^_`|~");

    private AnswerHead() {}

    /** Returns whether the readable bytes could be the start of a status line. */
    static boolean mayBegin(ByteBuf bytes) {
        return mayBegin(bytes, bytes.readerIndex(), bytes.writerIndex());
    }

    private static boolean mayBegin(ByteBuf bytes, int start, int end) {
        int count = Math.min(end - start, REASON_AT + 1);
        for (int i = 0; i < count; i++) {
            if (!mayStand(bytes.getByte(start + i), i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether a status line begins inside a line, as when an answer breaks off in one. */
    private static boolean hasStatusLine(ByteBuf bytes, int from, int end) {
        for (int at = bytes.indexOf(from, end, VERSION.byteAt(0));
                at >= 0 && end - at >= REASON_AT;
                at = bytes.indexOf(at + 1, end, VERSION.byteAt(0))) {
            if (mayBegin(bytes, at, Math.min(end, at + REASON_AT))) {
                return true;
            }
        }
        return false;
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

    /**
     * Returns the number of bytes of the head from the reader index, its empty line included, or -1
     * if it is not complete.
     *
     * @param scanned bytes from the reader index that contain no end of a head
     */
    static int length(ByteBuf bytes, int scanned) {
        int from = Math.max(0, scanned - 3);
        int end = bytes.readableBytes() - 3;
        for (int i = from; i < end; i++) {
            int at = bytes.readerIndex() + i;
            if (bytes.getByte(at) == '\r'
                    && bytes.getByte(at + 1) == '\n'
                    && bytes.getByte(at + 2) == '\r'
                    && bytes.getByte(at + 3) == '\n') {
                return i + 4;
            }
        }
        return -1;
    }

    /** Returns whether a complete head of the given length, from the reader index, is valid. */
    static boolean isValid(ByteBuf bytes, int length) {
        int start = bytes.readerIndex();
        int end = start + length - 2;
        boolean statusLine = true;
        for (int line = start; line < end; ) {
            int lineEnd = bytes.indexOf(line, end, (byte) '\r');
            if (bytes.getByte(lineEnd + 1) != '\n'
                    || !(statusLine
                            ? isStatusLine(bytes, line, lineEnd)
                            : isHeaderLine(bytes, line, lineEnd))) {
                return false;
            }
            statusLine = false;
            line = lineEnd + 2;
        }
        return !hasStatusLine(bytes, start + 1, end);
    }

    private static boolean isStatusLine(ByteBuf bytes, int start, int end) {
        return end - start >= REASON_AT
                && mayBegin(bytes)
                && isText(bytes, start + REASON_AT, end)
                && !isSwitch(bytes, start);
    }

    /** Returns whether the status is 101, which only an answer to an upgrade may have. */
    private static boolean isSwitch(ByteBuf bytes, int start) {
        return bytes.getByte(start + STATUS_AT) == '1'
                && bytes.getByte(start + STATUS_AT + 1) == '0'
                && bytes.getByte(start + STATUS_AT + 2) == '1';
    }

    private static boolean isHeaderLine(ByteBuf bytes, int start, int end) {
        int colon = bytes.indexOf(start, end, (byte) ':');
        return colon > start
                && bytes.forEachByte(start, colon - start, AnswerHead::isTokenByte) < 0
                && isText(bytes, colon + 1, end);
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
