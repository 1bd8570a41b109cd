package dev.zinniaring.sidecar;

import dev.zinniaring.accounts.QuotaTolerance;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * What nodes have to agree on beyond the configuration.
 *
 * @param keyRevocation time within which every node, reachable or not, has to refuse a key that is
 *     taken away; null if only nodes that follow the configuration have to
 * @param exposureShare largest fraction of a service's calls that a bad version may get during a
 *     roll-out; 0 if there are no roll-outs
 * @param quotaTolerance how far the calls of an account may exceed its quota
 */
public record ControlSettings(
        @Nullable Duration keyRevocation, double exposureShare, QuotaTolerance quotaTolerance) {
    /** Settings of nodes that only follow the configuration. */
    public static final ControlSettings NONE = new ControlSettings(null, 0, QuotaTolerance.NONE);

    /** Returns whether the nodes decide about versions of backend servers. */
    boolean decidesVersions() {
        return exposureShare > 0;
    }
}
