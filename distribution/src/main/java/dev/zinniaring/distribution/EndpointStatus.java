package dev.zinniaring.distribution;

/**
 * What a node shows of its endpoint records in the state dump.
 *
 * @param records records held, removed ones included
 * @param synced whether the node has had a whole list from a peer since its start
 * @param pending records that wait for the next batch
 * @param batchesSent batches sent to peers
 * @param repairs digests that differed from a peer's
 * @param refusedPulls pulls not answered because of the rate limit
 */
public record EndpointStatus(
        int records,
        boolean synced,
        int pending,
        long batchesSent,
        long repairs,
        long refusedPulls) {}
