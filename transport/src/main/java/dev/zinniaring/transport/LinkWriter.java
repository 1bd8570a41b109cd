package dev.zinniaring.transport;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.jspecify.annotations.Nullable;

/**
 * The sending half of a link: queues frames and writes each once it is due under the simulated
 * network conditions. Confined to the I/O thread.
 */
final class LinkWriter {
    private static final long RETRANSMISSION_DELAY_NANOS = 200_000_000L;

    private final LinkContext context;
    private final SendQueue queue;
    private final Runnable flush;
    private @Nullable Peer peer;
    private int uncountedHelloBytes;
    private long lastProgressNanos;
    private long lastDueNanos;
    private boolean flushScheduled;

    /**
     * Creates a writer.
     *
     * @param flush called when a delayed frame becomes due
     */
    LinkWriter(LinkContext context, Runnable flush) {
        this.context = context;
        this.flush = flush;
        this.queue = new SendQueue(context.limits().queueFrames(), context.limits().queueBytes());
        this.lastProgressNanos = now();
        this.lastDueNanos = now();
    }

    /**
     * Queues a frame. Returns false if the queue is full, in which case the link must be closed.
     */
    boolean offer(OutFrame frame) {
        if (queue.size() == 0) {
            lastProgressNanos = now();
        }
        long droppedBefore = queue.dropped();
        SendQueue.OfferResult result = queue.offer(frame);
        context.counters().fault(TransportFault.DROPPED_FRAMES, queue.dropped() - droppedBefore);
        if (peer != null) {
            assignDue(frame, peer);
        }
        return result != SendQueue.OfferResult.FULL;
    }

    /** Queues this node's {@link Hello} ahead of all queued frames. */
    void queueHello(String toZone) {
        OutFrame hello = OutFrame.of(Hello.CODEC, context.hello());
        lastProgressNanos = now();
        lastDueNanos = now() + context.delayNanos(context.conditionTo(toZone));
        hello.setDueNanos(lastDueNanos);
        queue.addFirst(hello);
    }

    /** Lets the queued frames follow the {@link Hello}, now that the peer is known. */
    void onOpened(Peer newPeer) {
        peer = newPeer;
        if (uncountedHelloBytes > 0) {
            count("Hello", newPeer.zone(), uncountedHelloBytes);
        }
        queue.forEach(
                frame -> {
                    if (frame.type() != Hello.TYPE) {
                        assignDue(frame, newPeer);
                    }
                });
    }

    /** Writes the frames that are due. Returns true if the socket's send buffer is full. */
    boolean write(SocketChannel channel) throws IOException {
        OutFrame frame = queue.peek();
        while (frame != null && canWrite(frame)) {
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

    /** Returns whether frames are overdue and nothing was written for the write stall timeout. */
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

    /** Drops and counts the queued frames, because the link has closed. */
    void close() {
        context.counters().fault(TransportFault.UNSENT, queue.size());
        queue.clear();
    }

    private boolean canWrite(OutFrame frame) {
        if (peer == null && frame.type() != Hello.TYPE) {
            return false;
        }
        if (peer != null && context.conditionTo(peer.zone()).cut()) {
            return false;
        }
        long waitNanos = frame.dueNanos() - now();
        if (waitNanos > 0 && !flushScheduled) {
            flushScheduled = true;
            context.scheduleOnLoop(waitNanos, this::runScheduledFlush);
        }
        return waitNanos <= 0;
    }

    private void runScheduledFlush() {
        flushScheduled = false;
        flush.run();
    }

    /**
     * Sets the time at which a frame is written. Frames never overtake earlier ones of the link.
     */
    private void assignDue(OutFrame frame, Peer to) {
        LinkConditions.Condition condition = context.conditionTo(to.zone());
        long due = now() + context.delayNanos(condition);
        due += context.drawLoss(condition) ? RETRANSMISSION_DELAY_NANOS : 0;
        lastDueNanos = due - lastDueNanos > 0 ? due : lastDueNanos;
        frame.setDueNanos(lastDueNanos);
    }

    private void countSent(OutFrame frame) {
        if (peer == null) {
            uncountedHelloBytes = frame.sizeBytes(); // counted once the peer's zone is known
        } else {
            count(context.types().name(frame.type()), peer.zone(), frame.sizeBytes());
        }
    }

    private void count(String name, String zone, int bytes) {
        context.counters()
                .count(name, TrafficCounters.Direction.SENT, context.isCrossZone(zone), bytes);
    }

    private long now() {
        return context.clock().nanos();
    }
}
