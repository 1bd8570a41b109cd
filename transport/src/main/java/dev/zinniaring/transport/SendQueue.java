package dev.zinniaring.transport;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The bounded send queue of a link. Confined to the I/O thread. */
final class SendQueue {
    /** The result of offering a frame. */
    enum OfferResult {
        QUEUED,
        /** Droppable frames were discarded: older ones or the offered frame itself. */
        DROPPED_SOME,
        /** The queue is full and holds too few droppable frames; the link must be closed. */
        FULL
    }

    private final int maxFrames;
    private final long maxBytes;
    private final Deque<OutFrame> frames = new ArrayDeque<>();
    private long bytes;
    private long dropped;

    SendQueue(int maxFrames, long maxBytes) {
        this.maxFrames = maxFrames;
        this.maxBytes = maxBytes;
    }

    OfferResult offer(OutFrame frame) {
        if (fits(frame)) {
            add(frame);
            return OfferResult.QUEUED;
        }
        dropOldestFor(frame);
        if (fits(frame)) {
            add(frame);
            return OfferResult.DROPPED_SOME;
        }
        if (frame.isDroppable()) {
            dropped++;
            return OfferResult.DROPPED_SOME;
        }
        return OfferResult.FULL;
    }

    /** Puts the Hello frame at the head of the queue, regardless of the limits. */
    void addFirst(OutFrame frame) {
        frames.addFirst(frame);
        bytes += frame.sizeBytes();
    }

    @Nullable OutFrame peek() {
        return frames.peek();
    }

    void remove() {
        bytes -= frames.remove().sizeBytes();
    }

    void forEach(Consumer<OutFrame> action) {
        frames.forEach(action);
    }

    void clear() {
        frames.clear();
        bytes = 0;
    }

    int size() {
        return frames.size();
    }

    long bytes() {
        return bytes;
    }

    /** Returns the total number of frames dropped because the queue was full. */
    long dropped() {
        return dropped;
    }

    private boolean fits(OutFrame frame) {
        return frames.size() < maxFrames && bytes + frame.sizeBytes() <= maxBytes;
    }

    private void add(OutFrame frame) {
        frames.add(frame);
        bytes += frame.sizeBytes();
    }

    private void dropOldestFor(OutFrame frame) {
        Iterator<OutFrame> oldestFirst = frames.iterator();
        while (!fits(frame) && oldestFirst.hasNext()) {
            OutFrame candidate = oldestFirst.next();
            if (candidate.isDroppable()) {
                oldestFirst.remove();
                bytes -= candidate.sizeBytes();
                dropped++;
            }
        }
    }
}
