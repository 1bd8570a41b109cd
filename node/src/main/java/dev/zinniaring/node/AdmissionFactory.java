package dev.zinniaring.node;

import dev.zinniaring.admission.AdmissionController;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import java.util.Collection;
import org.jspecify.annotations.Nullable;

/** Makes the admission controller of a backend server. */
@FunctionalInterface
interface AdmissionFactory {
    /**
     * Returns a new controller.
     *
     * @param ranks the ranks in force, empty before the first version
     * @param pool the pool of the server's service, or null if no pool names the service
     */
    AdmissionController create(Announcement announced, Collection<Rank> ranks, @Nullable Pool pool);
}
