package dev.zinniaring.calls;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Body of an answer that is being received, kept in the pieces in which it arrives. */
final class AnswerBody {
    /** Memory for a piece besides its bytes: object headers and the reference to it. */
    private static final int PIECE_OVERHEAD_BYTES = 32;

    private final List<byte[]> pieces = new ArrayList<>(1);
    private int length;

    /** Appends the readable bytes and returns the memory that they take, in bytes. */
    long append(ByteBuf bytes) {
        int count = bytes.readableBytes();
        if (count == 0) {
            return 0;
        }
        byte[] piece = new byte[count];
        bytes.readBytes(piece);
        pieces.add(piece);
        length += count;
        return count + PIECE_OVERHEAD_BYTES;
    }

    /**
     * Returns whether a body contains the status line of an answer and, behind it, the id of a
     * request.
     */
    static boolean containsAnswer(byte[] body, String id) {
        ByteBuf bytes = Unpooled.wrappedBuffer(body);
        int statusLine = AnswerHead.indexOfStatusLine(bytes, 0, body.length);
        if (statusLine < 0) {
            return false;
        }
        ByteBuf rest = bytes.slice(statusLine, body.length - statusLine);
        return ByteBufUtil.indexOf(Unpooled.copiedBuffer(id, StandardCharsets.US_ASCII), rest) >= 0;
    }

    /** Returns the whole body. */
    byte[] toByteArray() {
        if (pieces.size() == 1) {
            return pieces.get(0);
        }
        byte[] whole = new byte[length];
        int position = 0;
        for (byte[] piece : pieces) {
            System.arraycopy(piece, 0, whole, position, piece.length);
            position += piece.length;
        }
        return whole;
    }
}
