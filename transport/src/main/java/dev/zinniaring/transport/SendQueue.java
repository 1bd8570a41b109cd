package dev.zinniaring.transport;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The bounded queue of a link. Used by the I/O thread alone. */
final class SendQueue {
    /** What became of an offered frame. */
    enum Offer {
        QUEUED,
        /** Droppable frames, older ones or the offered one, made way. */
        DROPPED_SOME,
        /** Neither room nor droppable frames: the link must fail. */
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

    Offer offer(OutFrame frame) {
        if (fits(frame)) {
            add(frame);
            return Offer.QUEUED;
        }
        dropOldestFor(frame);
        if (fits(frame)) {
            add(frame);
            return Offer.DROPPED_SOME;
        }
        if (frame.isDroppable()) {
            dropped++;
            return Offer.DROPPED_SOME;
        }
        return Offer.FULL;
    }

    /** Puts the greeting before everything that waits, whatever the limits. */
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

    /** Returns how many frames were dropped for newer ones. */
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
