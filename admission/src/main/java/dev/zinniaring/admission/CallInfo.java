package dev.zinniaring.admission;

/**
 * What admission needs to know of a call.
 *
 * @param rankOrder order of the call's rank, 0 for the most urgent; an order that the controller
 *     does not know counts as the least urgent rank
 * @param deadlineNanos reading of {@link dev.zinniaring.kernel.Clock#nanos()} at which the caller
 *     gives up
 */
public record CallInfo(int rankOrder, long deadlineNanos) {}
