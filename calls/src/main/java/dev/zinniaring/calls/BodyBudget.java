package dev.zinniaring.calls;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Bounds the memory for the request bodies that a node holds, over all connections. Memory for a
 * long body is claimed before the body is read, so that every body that is begun can be completed;
 * claims that do not fit wait in order of arrival. Short bodies have room of their own, so that
 * they never wait for long ones. Must be used on one thread.
 */
public final class BodyBudget {
    /** Largest size of a body that counts as short, in bytes. */
    static final int MAX_SHORT_BYTES = 64 * 1024;

    /** Memory for what is read of a request whose body has to wait, in bytes. */
    static final int WAITING_BYTES = 2 * HttpListener.MAX_RECEIVE_BYTES + ReadAhead.MAX_BYTES;

    /** Fraction of the heap for bodies; answers and the node itself take the rest. */
    private static final double HEAP_FRACTION = 0.36;

    /**
     * Fraction of the budget for the long bodies of one share. The other share always keeps some
     * room, so that nodes that send each other bodies do not wait in a circle.
     */
    private static final double SHARE_FRACTION = 0.55;

    /** Fraction of the budget for all long bodies; the rest is for short ones. */
    private static final double LONG_FRACTION = 0.8;

    private final long capacityBytes;
    private final List<Share> shares = new ArrayList<>(2);
    private long totalBytes;
    private long longBytes;

    /** Creates a budget of the given size, in bytes. */
    BodyBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /** Creates a budget for a process with a heap of the given size, in bytes. */
    public static BodyBudget ofHeap(long heapBytes) {
        return new BodyBudget((long) (HEAP_FRACTION * heapBytes));
    }

    /** Creates a share for the connections of one listener. */
    public Share share() {
        Share share = new Share();
        shares.add(share);
        return share;
    }

    /** Returns the memory that is claimed, in bytes. */
    long totalBytes() {
        return totalBytes;
    }

    private void grantWaiting() {
        for (Share share : shares) {
            Claim next = share.waiting.peek();
            while (next != null && share.fits(next.bytes, WAITING_BYTES)) {
                share.waiting.remove();
                totalBytes -= WAITING_BYTES;
                next.take();
                next.whenGranted.run();
                next = share.waiting.peek();
            }
        }
    }

    /** The claims for the bodies that one listener receives. */
    public final class Share {
        private final Deque<Claim> waiting = new ArrayDeque<>();
        private long shareBytes;

        private Share() {}

        /**
         * Claims memory for a body before it is read.
         *
         * @param bytes size of the body; 0 if it is not known, in which case the claim must grow
         * @param whenGranted is run when a claim that had to wait is granted
         */
        Claim claim(long bytes, Runnable whenGranted) {
            Claim claim = new Claim(this, bytes, whenGranted);
            if (waiting.isEmpty() || !isLong(bytes)) {
                if (fits(bytes, 0)) {
                    claim.take();
                    return claim;
                }
            }
            if (isLong(bytes)
                    && bytes <= LONG_FRACTION * capacityBytes
                    && totalBytes + WAITING_BYTES <= capacityBytes) {
                totalBytes += WAITING_BYTES;
                claim.state = State.WAITING;
                waiting.add(claim);
            }
            return claim;
        }

        /** Returns whether claims wait for memory. */
        boolean contended() {
            return !waiting.isEmpty();
        }

        private boolean fits(long bytes, long releasedBytes) {
            if (totalBytes - releasedBytes + bytes > capacityBytes) {
                return false;
            }
            boolean sharesRoom =
                    shareBytes == 0 || shareBytes + bytes <= SHARE_FRACTION * capacityBytes;
            return !isLong(bytes)
                    || (sharesRoom && longBytes + bytes <= LONG_FRACTION * capacityBytes);
        }
    }

    private static boolean isLong(long bytes) {
        return bytes > MAX_SHORT_BYTES;
    }

    private enum State {
        REFUSED,
        WAITING,
        GRANTED,
        RELEASED
    }

    /** Memory for one body, from before it is read until the request has been answered. */
    final class Claim {
        private final Share share;
        private final Runnable whenGranted;
        private long bytes;
        private State state = State.REFUSED;

        private Claim(Share share, long bytes, Runnable whenGranted) {
            this.share = share;
            this.bytes = bytes;
            this.whenGranted = whenGranted;
        }

        boolean granted() {
            return state == State.GRANTED;
        }

        boolean refused() {
            return state == State.REFUSED;
        }

        boolean waiting() {
            return state == State.WAITING;
        }

        /** Returns whether the body is so long that others may have to wait for it. */
        boolean isLong() {
            return BodyBudget.isLong(bytes);
        }

        /** Adds to a granted claim; returns whether there was room. */
        boolean grow(long addedBytes) {
            give();
            boolean fits = share.fits(bytes + addedBytes, 0);
            bytes += fits ? addedBytes : 0;
            take();
            return fits;
        }

        /** Gives back what a granted claim has above the given size. */
        void shrink(long toBytes) {
            give();
            bytes = Math.min(bytes, toBytes);
            take();
            grantWaiting();
        }

        /** Ends the claim; does nothing if it has ended already. */
        void release() {
            if (state == State.WAITING) {
                share.waiting.remove(this);
                totalBytes -= WAITING_BYTES;
            } else if (state == State.GRANTED) {
                give();
            }
            state = State.RELEASED;
            grantWaiting();
        }

        private void take() {
            state = State.GRANTED;
            add(bytes);
        }

        private void give() {
            add(-bytes);
        }

        private void add(long signedBytes) {
            totalBytes += signedBytes;
            if (isLong()) {
                longBytes += signedBytes;
                share.shareBytes += signedBytes;
            }
        }
    }
}
