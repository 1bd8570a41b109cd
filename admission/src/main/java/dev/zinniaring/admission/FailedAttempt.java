package dev.zinniaring.admission;

/**
 * An attempt of a call that got no answer from a backend server.
 *
 * @param idempotent whether calls of the route may safely run more than once
 * @param maxRetries number of attempts after the first that the route allows
 * @param attempt number of this attempt at this hop, from 1
 * @param knownNotRun whether the call is known not to have run; if false, it may have run
 * @param inboundAttempt attempt number that the call carried when it reached this node, from 1
 * @param poolShedding whether the pool currently sheds calls of this rank
 * @param leftNanos time left until the call's deadline
 */
public record FailedAttempt(
        boolean idempotent,
        int maxRetries,
        int attempt,
        boolean knownNotRun,
        int inboundAttempt,
        boolean poolShedding,
        long leftNanos) {}
