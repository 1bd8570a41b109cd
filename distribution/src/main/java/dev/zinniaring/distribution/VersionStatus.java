package dev.zinniaring.distribution;

import java.util.List;

/**
 * What a node shows of its versions in the state dump.
 *
 * @param number version in force, 0 for none
 * @param hash its hash, empty for none
 * @param heldNumber recorded version held, 0 for none
 * @param floor lowest number that may come into force, -1 while unknown
 * @param waitingFor what the node lacks until it can serve, empty if it serves
 * @param refusedVersion number of the last version that this node could not read, 0 for none
 * @param refusedReason why it could not
 * @param seed whether this node is a seed
 * @param mark the seed's mark
 * @param confirmed whether the seed's answers count
 * @param recording version that waits for a majority of seeds, 0 for none
 * @param acknowledgements seeds that have acknowledged that version
 * @param conflicts how often a number came with two hashes
 * @param platformReads reads of the platform begun
 * @param platformFailures reads of the platform that failed
 * @param refusedBodies pulls not answered because of the rate limit
 * @param seeds the seeds of the settings
 */
public record VersionStatus(
        long number,
        String hash,
        long heldNumber,
        long floor,
        String waitingFor,
        long refusedVersion,
        String refusedReason,
        boolean seed,
        long mark,
        boolean confirmed,
        long recording,
        int acknowledgements,
        long conflicts,
        long platformReads,
        long platformFailures,
        long refusedBodies,
        List<String> seeds) {}
