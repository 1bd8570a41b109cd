package dev.zinniaring.node;

import dev.zinniaring.admission.AdmissionController;
import dev.zinniaring.admission.RankedAdmission;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import java.util.Collection;
import org.jspecify.annotations.Nullable;

/** Creates the admission controller of a backend server. */
@FunctionalInterface
public interface AdmissionFactory {
    /**
     * Returns a new controller.
     *
     * @param slots number of calls that the server runs concurrently
     * @param connections number of connections that it accepts
     * @param ranks the active ranks; empty before the first version
     * @param pool the pool of the server's service, or null if no pool names the service
     * @param before the server's previous controller, with other ranks or limits, whose calls the
     *     new one takes over; null if there is none
     */
    AdmissionController create(
            int slots,
            int connections,
            Collection<Rank> ranks,
            @Nullable Pool pool,
            @Nullable AdmissionController before);

    /** Returns a factory of controllers that admit calls by rank. */
    static AdmissionFactory ranked(Clock clock) {
        return (slots, connections, ranks, pool, before) -> {
            RankedAdmission.Builder builder =
                    RankedAdmission.builder().clock(clock).slots(slots).connections(connections);
            if (!ranks.isEmpty()) {
                builder.ranks(ranks);
            }
            if (pool != null) {
                builder.maxQueued(pool.maxQueued()).maxQueueMillis(pool.maxQueueMillis());
            }
            if (before instanceof RankedAdmission replaced) {
                builder.replacing(replaced);
            }
            return builder.build();
        };
    }
}
