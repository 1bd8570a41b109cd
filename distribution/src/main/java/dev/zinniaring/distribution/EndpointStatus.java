package dev.zinniaring.distribution;

/**
 * Status of the endpoint records of a node, as shown in the state dump.
 *
 * @param records number of records held, including removed ones
 * @param synced whether the node has received all records of a peer since its start
 * @param pending number of records waiting for the next batch
 * @param batchesSent number of batches sent to peers
 * @param repairs number of digests received that differed from the own one
 * @param refusedPulls number of pulls rejected by the rate limit
 */
public record EndpointStatus(
        int records,
        boolean synced,
        int pending,
        long batchesSent,
        long repairs,
        long refusedPulls) {}
