package dev.zinniaring.distribution;

import dev.zinniaring.model.Version;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Status of the versions of a node, as shown in the state dump.
 *
 * @param number number of the active version, 0 for none
 * @param hash hash of the active version, empty for none
 * @param heldNumber number of the recorded version held, 0 for none
 * @param floor lowest number that may be activated, -1 while unknown
 * @param waitingFor what the node lacks to activate a version, empty if one is active
 * @param refusedVersion number of the last version that this node could not decode, 0 for none
 * @param refusedReason why it could not be decoded
 * @param seed whether this node is a seed
 * @param mark highest version number that this seed has recorded or learned
 * @param confirmed whether the answers of this seed count
 * @param recording number of the version that is being recorded on a majority of seeds, 0 for none
 * @param acknowledgements number of seeds that have acknowledged that version
 * @param conflicts how often a version number was received with two different hashes
 * @param platformReads number of platform reads started
 * @param platformFailures number of failed platform reads
 * @param refusedBodies number of pulls rejected by the rate limit
 * @param seeds the configured seeds
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
            @Nullable LocalSeed localSeed,
            long recording,
            int acknowledgements,
            @Nullable PlatformReader reader,
            long refusedBodies,
            List<String> seeds) {
        VersionState.Snapshot now = state.now();
        Version active = now.active();
        VersionState.Refused refused = now.refused();
        return new VersionStatus(
                active == null ? 0 : active.number(),
                active == null ? "" : active.hash(),
                now.heldNumber(),
                now.floor().orElse(-1),
                waitingFor(now),
                refused == null ? 0 : refused.number(),
                refused == null ? "" : refused.reason(),
                localSeed != null && localSeed.isSeed(),
                localSeed == null ? 0 : localSeed.mark(),
                localSeed != null && localSeed.confirmed(),
                recording,
                acknowledgements,
                state.conflicts(),
                reader == null ? 0 : reader.reads(),
                reader == null ? 0 : reader.failures(),
                refusedBodies,
                seeds);
    }

    private static String waitingFor(VersionState.Snapshot now) {
        if (now.active() != null) {
            return "";
        }
        if (now.floor().isEmpty()) {
            return "floor from a majority of seeds or from the platform";
        }
        long floor = now.floor().getAsLong();
        return floor == 0 ? "first version" : "recorded version of at least " + floor;
    }
}
