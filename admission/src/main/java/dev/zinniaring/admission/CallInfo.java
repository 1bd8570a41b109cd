package dev.zinniaring.admission;

/**
 * The properties of a call that admission control uses.
 *
 * @param rankOrder order of the call's rank, 0 for the most urgent; an order that the controller
 *     does not know is treated as the least urgent rank
 * @param deadlineNanos reading of {@link dev.zinniaring.kernel.Clock#nanos()} at which the caller
 *     stops waiting
 */
public record CallInfo(int rankOrder, long deadlineNanos) {}
