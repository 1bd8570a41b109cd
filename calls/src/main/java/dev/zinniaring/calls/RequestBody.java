package dev.zinniaring.calls;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * Body of a request that is being received. A body of known length is kept in one array of that
 * length, which is not copied.
 */
final class RequestBody {
    private static final byte[] EMPTY = new byte[0];

    private final BodyBudget.Claim claim;
    private final int length;
    private byte[] bytes = EMPTY;
    private int size;

    /**
     * Creates an empty body.
     *
     * @param claim memory for the body
     * @param length length in bytes; -1 if it is not known, in which case the claim grows
     */
    RequestBody(BodyBudget.Claim claim, int length) {
        this.claim = claim;
        this.length = length;
    }

    /** Appends the readable bytes; returns false if there is no memory for them. */
    boolean append(ByteBuf part) {
        int count = part.readableBytes();
        if (count == 0) {
            return true;
        }
        if (!ensureCapacity(size + count)) {
            return false;
        }
        part.readBytes(bytes, size, count);
        size += count;
        return true;
    }

    private boolean ensureCapacity(int needed) {
        if (length >= 0) {
            // Until the claim is granted, only what was read with the head is kept.
            int capacity = claim.granted() ? length : needed;
            bytes = bytes.length < needed ? Arrays.copyOf(bytes, capacity) : bytes;
            return true;
        }
        if (needed > bytes.length) {
            int capacity = Math.max(needed, 2 * bytes.length);
            // The array and its copy.
            if (!claim.grow(2L * (capacity - bytes.length))) {
                return false;
            }
            bytes = Arrays.copyOf(bytes, capacity);
        }
        return true;
    }

    int size() {
        return size;
    }

    /** Returns the body once it is complete. */
    byte[] toByteArray() {
        if (bytes.length != size) {
            bytes = Arrays.copyOf(bytes, size);
            claim.shrink(size);
        }
        return bytes;
    }
}
