package dev.zinniaring.calls;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Bounds the memory for the request heads that a node holds, over all connections, from their first
 * line until their requests are answered. It answers clients that send heads of legal size made of
 * thousands of short lines, of which each takes many times its bytes as objects. A head is counted
 * by what it takes in memory, line by line as it is decoded; one that does not fit is refused. Must
 * be used on one thread.
 */
final class HeadBudget {
    /** Memory for a line besides its characters: two strings, and an entry here and in a copy. */
    static final int LINE_BYTES = 250;

    /** Copies of the characters: as decoded, in the identity of the call, and as sent on. */
    private static final int CHARACTER_COPIES = 3;

    /** Fraction of the heap for heads; bodies, answers and the node itself take the rest. */
    private static final double HEAP_FRACTION = 0.3;

    /** Memory up to which a head is an ordinary one; the usual ones take about 4 KB. */
    private static final int ORDINARY_BYTES = 12 * 1024;

    /** Fraction of the budget for heads that are not ordinary. */
    private static final double LARGE_FRACTION = 0.6;

    /** Fraction of the budget below which the node is no longer said to be short of memory. */
    private static final double CALM_FRACTION = 0.3;

    private static final Logger log = LoggerFactory.getLogger("memory");

    private final long capacityBytes;
    private Runnable refusalListener = () -> {};
    private long totalBytes;
    private boolean shortOfMemory;

    /** Creates a budget of the given size, in bytes. */
    HeadBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Creates a budget for a process with a heap of the given size, in bytes. */
    static HeadBudget ofHeap(long heapBytes) {
        return new HeadBudget((long) (HEAP_FRACTION * heapBytes));
    }

    /** Sets the action to run for each head that is refused. */
    void onRefusal(Runnable action) {
        refusalListener = action;
    }

    /** Returns the memory that heads take, in bytes. */
    long totalBytes() {
        return totalBytes;
    }

    /** Starts to count a head. */
    Claim claim() {
        return new Claim();
    }

    private boolean fits(long claimedBytes, long addedBytes) {
        boolean ordinary = claimedBytes + addedBytes <= ORDINARY_BYTES;
        double limit = ordinary ? capacityBytes : LARGE_FRACTION * capacityBytes;
        return totalBytes + addedBytes <= limit;
    }

    private void refused() {
        if (!shortOfMemory) {
            shortOfMemory = true;
            log.warn(
                    "request heads take {} of {} bytes, refusing those that do not fit",
                    totalBytes,
                    capacityBytes);
        }
        refusalListener.run();
    }

    /** Memory for one head. */
    final class Claim {
        private long bytes;
        private boolean refused;

        private Claim() {}

        /** Adds a line; returns whether there is room for it. */
        boolean addLine(int characters) {
            long addedBytes = LINE_BYTES + (long) CHARACTER_COPIES * characters;
            if (refused || !fits(bytes, addedBytes)) {
                if (!refused) {
                    refused = true;
                    HeadBudget.this.refused();
                }
                return false;
            }
            bytes += addedBytes;
            totalBytes += addedBytes;
            return true;
        }

        /** Ends the claim; does nothing if it has ended already. */
        void release() {
            totalBytes -= bytes;
            bytes = 0;
            if (shortOfMemory && totalBytes < CALM_FRACTION * capacityBytes) {
                shortOfMemory = false;
                log.info("request heads take {} of {} bytes", totalBytes, capacityBytes);
            }
        }
    }
}
