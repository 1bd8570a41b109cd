package dev.zinniaring.transport;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** State and services shared by the links and the datagram socket of one network. */
record LinkContext(
        Hello hello,
        MessageTypes types,
        TrafficCounters counters,
        Clock clock,
        Scheduler scheduler,
        RandomGenerator random,
        LinkConditions conditions,
        TransportLimits limits,
        IoLoop loop) {
    private static final Logger log = LoggerFactory.getLogger(LinkContext.class);

    String zone() {
        return hello.peer().zone();
    }

    LinkConditions.Condition conditionTo(String zone) {
        return conditions.between(zone(), zone);
    }

    boolean isCutFrom(String zone) {
        return conditions.between(zone, zone()).cut();
    }

    boolean isCrossZone(String zone) {
        return !zone.equals(zone());
    }

    /** Returns the simulated delay of one frame or datagram. Call on the loop's thread only. */
    long delayNanos(LinkConditions.Condition condition) {
        long jitterNanos = condition.jitter().toNanos();
        return condition.delay().toNanos() + (jitterNanos > 0 ? random.nextLong(jitterNanos) : 0);
    }

    /** Draws whether one frame or datagram is lost. Call on the loop's thread only. */
    boolean drawLoss(LinkConditions.Condition condition) {
        return condition.loss() > 0 && random.nextDouble() < condition.loss();
    }

    /** Runs a task on the loop's thread after a delay. */
    void scheduleOnLoop(long delayNanos, Runnable task) {
        scheduler.after(Duration.ofNanos(delayNanos), () -> loop.execute(task));
    }

    /**
     * Checks the protocol and mesh of a received {@link Hello}; returns the fault if one differs.
     */
    Optional<TransportFault> check(Hello other) {
        if (other.protocol() != hello.protocol()) {
            return Optional.of(TransportFault.WRONG_PROTOCOL);
        }
        if (!other.mesh().equals(hello.mesh())) {
            return Optional.of(TransportFault.WRONG_MESH);
        }
        return Optional.empty();
    }

    /** Passes a message to its handler. An exception of the handler is counted and logged only. */
    void deliver(MessageTypes.Entry<?> entry, Peer from, Message message) {
        try {
            entry.deliver(from, message);
        } catch (RuntimeException e) {
            counters.fault(TransportFault.HANDLER_FAILED);
            log.error("handler of {} failed for a message from {}", entry.name(), from.nodeId(), e);
        }
    }
}
