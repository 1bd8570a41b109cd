package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.RateLimit;
import java.util.List;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Decides which calls a backend server runs now, which wait for it and which are refused, by its
 * slots, the slots reserved for urgent calls, and the request limit that the server names. It
 * answers the load of all entry nodes on one server: a flood of calls that are not urgent, and
 * demand above the limit of a server in need. Does no I/O.
 *
 * @param <T> type of the calls
 */
final class ServerAdmission<T extends AdmissibleCall> {
    /** Order in the queue of the most urgent call of an account; above all ranks of routes. */
    private static final int FIRST_ACCOUNT_ORDER = 1_000_000;

    private final Clock clock;
    private final RateLimit limit;
    private final SlotQueue<T> queue = new SlotQueue<>();
    private final SlotReservation reservation = new SlotReservation();
    private final WaitLimits waitLimits = new WaitLimits();
    private final RunTimes runTimes = new RunTimes();
    private int running;
    private long runningNanos;

    ServerAdmission(Clock clock, RateLimit limit) {
        this.clock = clock;
        this.limit = limit;
    }

    /** What happens to a call. */
    enum Verdict {
        /** The call is to be started; the caller then reports {@link #started}. */
        START,
        /** The call waits until {@link #next} returns it. */
        WAIT,
        /** The call is refused, since the slots would serve it too late. */
        FULL,
        /** The call is refused, since the server's request limit would delay it too long. */
        LIMITED
    }

    /**
     * Verdict on a call.
     *
     * @param entry identifies a waiting call, null unless it waits
     */
    record Offer<T>(Verdict verdict, SlotQueue.@Nullable Entry<T> entry) {}

    /**
     * Decides about a call that arrives.
     *
     * @param slots number of calls that the server runs at the same time
     */
    Offer<T> offer(T call, int slots) {
        long nowNanos = clock.nanos();
        int reservedRank = call.ofAccount() ? SlotReservation.LEAST_URGENT : call.rankOrder();
        boolean urgent = reservation.isUrgent(reservedRank, call.routeTargetMillis(), nowNanos);
        int usableSlots = urgent ? slots : reservation.nonUrgentSlots(slots);
        boolean first = queue.size() == 0 || (urgent && !limit.isSet());
        if (running < usableSlots && first && limit.waitNanos(0) == 0) {
            return new Offer<>(Verdict.START, null);
        }
        SlotQueue.CallProfile profile =
                new SlotQueue.CallProfile(
                        queueOrder(call),
                        urgent && !call.ofAccount(),
                        expectedNanos(call),
                        call.targetNanos(),
                        call.deadlineNanos(),
                        maxWaitNanos(call, nowNanos));
        SlotQueue.Entry<T> entry =
                queue.offer(call, profile, usableSlots, runningNanos, nowNanos, limit::waitNanos);
        return entry == null ? new Offer<>(lackOfRoom(), null) : new Offer<>(Verdict.WAIT, entry);
    }

    /** Calls of other servers go first, since a slot there is held while they wait. */
    private int queueOrder(T call) {
        return call.ofAccount() ? FIRST_ACCOUNT_ORDER + call.rankOrder() : call.rankOrder();
    }

    /** Returns the longest wait with which a call is queued, the same for all of accounts. */
    private long maxWaitNanos(T call, long nowNanos) {
        if (!call.ofAccount()) {
            return Long.MAX_VALUE;
        }
        double usableNanos = SlotQueue.TARGET_FRACTION * call.routeTargetMillis() * 1e6;
        waitLimits.seen(call.routeName(), (long) usableNanos - expectedNanos(call), nowNanos);
        return waitLimits.strictestNanos(nowNanos);
    }

    /** Returns what a further call would lack now: request limit or slots. */
    Verdict lackOfRoom() {
        return limit.waitNanos(queue.size()) > 0 ? Verdict.LIMITED : Verdict.FULL;
    }

    /** Removes and returns the waiting call that may start now, or null if there is none. */
    @Nullable T next(int slots) {
        if (running >= slots || limit.waitNanos(0) > 0) {
            return null;
        }
        return queue.poll(running >= reservation.nonUrgentSlots(slots), clock.nanos());
    }

    /**
     * Returns the time until the request limit allows the next waiting call, 0 if it does not hold
     * one back.
     */
    long limitWaitNanos() {
        return queue.size() == 0 ? 0 : limit.waitNanos(0);
    }

    /** Removes and returns the waiting calls that can no longer meet their deadline. */
    List<T> removeExpired() {
        return queue.removeExpired(clock.nanos());
    }

    /**
     * Removes and returns the waiting calls that the request limit delays beyond their deadline,
     * which can be the case after a more urgent call has arrived or the limit has fallen.
     */
    List<T> removeDelayed() {
        return limit.isSet() ? queue.removeDelayed(limit::waitNanos, clock.nanos()) : List.of();
    }

    /** Removes and returns the waiting calls that match a condition. */
    List<T> removeIf(Predicate<T> condition) {
        return queue.removeIf(condition);
    }

    /** Removes and returns all waiting calls. */
    List<T> removeAll() {
        return queue.removeAll();
    }

    /** Removes a waiting call, for example because its caller has disconnected. */
    void remove(SlotQueue.Entry<T> entry) {
        queue.remove(entry);
    }

    /** Records that a call was sent to the server. */
    void started(long expectedNanos) {
        running++;
        runningNanos += expectedNanos;
        limit.take();
    }

    /** Records the end of a call that was {@link #started} with the same expected time. */
    void ended(long expectedNanos) {
        running--;
        runningNanos -= expectedNanos;
    }

    /** Returns the expected run time of a call. */
    long expectedNanos(T call) {
        long fallbackNanos = Math.max(0, call.targetNanos() - clock.nanos()) / 3;
        return runTimes.meanNanos(call.routeName(), fallbackNanos);
    }

    /** Returns the run times from which expected times are taken. */
    RunTimes runTimes() {
        return runTimes;
    }

    int running() {
        return running;
    }

    int waiting() {
        return queue.size();
    }

    /** Returns the current load. */
    ServerLoad load(int slots) {
        return new ServerLoad(
                running,
                queue.size(),
                slots,
                limit.perSecond(),
                limit.waitNanos(queue.size()) / 1_000_000L);
    }
}
