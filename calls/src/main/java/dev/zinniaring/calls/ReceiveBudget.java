package dev.zinniaring.calls;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the memory for incomplete answers over all connections of a node. A sender that does not
 * end its answer would otherwise fill the heap. When the bound is exceeded, the largest answer
 * fails, so that the short answers of other calls are not affected.
 */
final class ReceiveBudget {
    /** Maximum size of one answer, in bytes. */
    static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    /**
     * Maximum size of all incomplete answers, in bytes; a quarter of the heap, since the largest
     * one is copied when it is complete.
     */
    static final int MAX_TOTAL_BYTES = 6 * 1024 * 1024;

    private final Map<Holder, Long> heldBytes = new HashMap<>();
    private long totalBytes;

    /** An incomplete answer. */
    interface Holder {
        /** Gives the answer up; the holder releases its memory. */
        void giveUp();
    }

    /** Adds memory that an answer takes; may give up an answer, this one or another. */
    void add(Holder holder, long bytes) {
        long held = heldBytes.merge(holder, bytes, Long::sum);
        totalBytes += bytes;
        if (held > MAX_ANSWER_BYTES) {
            holder.giveUp();
        } else if (totalBytes > MAX_TOTAL_BYTES) {
            Holder largest = largest();
            if (largest != null) {
                largest.giveUp();
            }
        }
    }

    private @Nullable Holder largest() {
        Holder largest = null;
        long largestBytes = 0;
        for (Map.Entry<Holder, Long> held : heldBytes.entrySet()) {
            if (held.getValue() > largestBytes) {
                largest = held.getKey();
                largestBytes = held.getValue();
            }
        }
        return largest;
    }

    /** Releases the memory of an answer that is complete or was given up. */
    void release(Holder holder) {
        Long held = heldBytes.remove(holder);
        if (held != null) {
            totalBytes -= held;
        }
    }

    /** Returns the memory that all incomplete answers take, in bytes. */
    long totalBytes() {
        return totalBytes;
    }
}
