package dev.zinniaring.transport;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.jspecify.annotations.Nullable;

/**
 * The outgoing half of a link: its queue, and when each frame may be written under the link's
 * conditions. Used by the I/O thread alone.
 */
final class LinkWriter {
    private static final long RETRANSMISSION_NANOS = 200_000_000L;

    private final LinkContext context;
    private final SendQueue queue;
    private final Runnable flush;
    private @Nullable Peer peer;
    private int uncountedGreetingBytes;
    private long lastProgressNanos;
    private long lastDueNanos;
    private boolean wakePending;

    /**
     * Creates a writer.
     *
     * @param flush called when a frame falls due
     */
    LinkWriter(LinkContext context, Runnable flush) {
        this.context = context;
        this.flush = flush;
        this.queue = new SendQueue(context.limits().queueFrames(), context.limits().queueBytes());
        this.lastProgressNanos = now();
        this.lastDueNanos = now();
    }

    /** Queues a frame and returns whether the link may go on. */
    boolean offer(OutFrame frame) {
        if (queue.size() == 0) {
            lastProgressNanos = now();
        }
        long droppedBefore = queue.dropped();
        SendQueue.Offer offer = queue.offer(frame);
        context.counters().fault(TransportFault.DROPPED_FRAMES, queue.dropped() - droppedBefore);
        if (peer != null) {
            assignDue(frame, peer);
        }
        return offer != SendQueue.Offer.FULL;
    }

    /** Puts the greeting before everything that waits. */
    void greet(String toZone) {
        OutFrame greeting = OutFrame.of(Hello.CODEC, context.hello());
        lastProgressNanos = now();
        lastDueNanos = now() + context.delayNanos(context.conditionTo(toZone));
        greeting.dueAt(lastDueNanos);
        queue.addFirst(greeting);
    }

    /** Allows what waits to follow the greeting, now that the peer is known. */
    void opened(Peer newPeer) {
        peer = newPeer;
        if (uncountedGreetingBytes > 0) {
            count("Hello", newPeer.zone(), uncountedGreetingBytes);
        }
        queue.forEach(
                frame -> {
                    if (frame.type() != Hello.TYPE) {
                        assignDue(frame, newPeer);
                    }
                });
    }

    /** Writes what is due and returns whether the socket would not take all of it. */
    boolean write(SocketChannel channel) throws IOException {
        OutFrame frame = queue.peek();
        while (frame != null && mayWrite(frame)) {
            if (channel.write(frame.bytes()) > 0) {
                lastProgressNanos = now();
            }
            if (frame.bytes().hasRemaining()) {
                return true;
            }
            queue.remove();
            countSent(frame);
            frame = queue.peek();
        }
        return false;
    }

    /** Returns whether frames are due and the peer has taken nothing for too long. */
    boolean isStalled(long now) {
        OutFrame head = queue.peek();
        if (head == null) {
            return false;
        }
        long limitNanos = context.limits().writeStallTimeout().toNanos();
        return now - head.dueNanos() >= limitNanos && now - lastProgressNanos >= limitNanos;
    }

    boolean isEmpty() {
        return queue.size() == 0;
    }

    int queuedFrames() {
        return queue.size();
    }

    long queuedBytes() {
        return queue.bytes();
    }

    /** Drops what waits, because the link has closed. */
    void close() {
        context.counters().fault(TransportFault.UNSENT, queue.size());
        queue.clear();
    }

    private boolean mayWrite(OutFrame frame) {
        if (peer == null && frame.type() != Hello.TYPE) {
            return false;
        }
        if (peer != null && context.conditionTo(peer.zone()).cut()) {
            return false;
        }
        long waitNanos = frame.dueNanos() - now();
        if (waitNanos > 0 && !wakePending) {
            wakePending = true;
            context.later(waitNanos, this::wake);
        }
        return waitNanos <= 0;
    }

    private void wake() {
        wakePending = false;
        flush.run();
    }

    /** Sets when a frame is written. Frames of a link keep their order. */
    private void assignDue(OutFrame frame, Peer to) {
        LinkConditions.Condition condition = context.conditionTo(to.zone());
        long due = now() + context.delayNanos(condition);
        due += context.loses(condition) ? RETRANSMISSION_NANOS : 0;
        lastDueNanos = due - lastDueNanos > 0 ? due : lastDueNanos;
        frame.dueAt(lastDueNanos);
    }

    private void countSent(OutFrame frame) {
        if (peer == null) {
            uncountedGreetingBytes = frame.sizeBytes(); // counted once the peer's zone is known
        } else {
            count(context.types().name(frame.type()), peer.zone(), frame.sizeBytes());
        }
    }

    private void count(String name, String zone, int bytes) {
        context.counters()
                .count(name, TrafficCounters.Direction.SENT, context.crosses(zone), bytes);
    }

    private long now() {
        return context.clock().nanos();
    }
}
