package dev.zinniaring.distribution;

import dev.zinniaring.model.Version;
import java.util.List;
import org.jspecify.annotations.Nullable;

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
        List<String> seeds) {
    static VersionStatus stopped(VersionState state) {
        return of(state, null, 0, 0, null, 0, List.of());
    }

    static VersionStatus of(
            VersionState state,
            @Nullable SeedDesk desk,
            long recording,
            int acknowledgements,
            @Nullable HeadReader reader,
            long refusedBodies,
            List<String> seeds) {
        VersionState.Snapshot now = state.now();
        Version inForce = now.inForce();
        VersionState.Refused refused = now.refused();
        return new VersionStatus(
                inForce == null ? 0 : inForce.number(),
                inForce == null ? "" : inForce.hash(),
                now.heldNumber(),
                now.floor().orElse(-1),
                waitingFor(now),
                refused == null ? 0 : refused.number(),
                refused == null ? "" : refused.reason(),
                desk != null && desk.isSeed(),
                desk == null ? 0 : desk.mark(),
                desk != null && desk.confirmed(),
                recording,
                acknowledgements,
                state.conflicts(),
                reader == null ? 0 : reader.reads(),
                reader == null ? 0 : reader.failures(),
                refusedBodies,
                seeds);
    }

    private static String waitingFor(VersionState.Snapshot now) {
        if (now.inForce() != null) {
            return "";
        }
        if (now.floor().isEmpty()) {
            return "floor from a majority of seeds or from the platform";
        }
        long floor = now.floor().getAsLong();
        return floor == 0 ? "first version" : "recorded version of at least " + floor;
    }
}
