package dev.zinniaring.admission;

/**
 * An attempt of a call that brought no answer of a backend server.
 *
 * @param idempotent whether the route allows a call to run twice
 * @param maxRetries attempts after the first that the route allows
 * @param attempt number of this attempt at this hop, from 1
 * @param provedNotRun whether it is proved that the call did not run; otherwise it is unknown
 * @param inboundAttempt attempt number that the call carried when it came to this node, from 1
 * @param poolShedding whether the pool sheds calls of this rank at present
 * @param leftNanos time left until the call's deadline
 */
public record FailedAttempt(
        boolean idempotent,
        int maxRetries,
        int attempt,
        boolean provedNotRun,
        int inboundAttempt,
        boolean poolShedding,
        long leftNanos) {}
