package dev.zinniaring.distribution;

import dev.zinniaring.model.EndpointRecord;
import java.util.Collection;
import java.util.List;

/** Immutable view of the endpoint records. */
public interface EndpointView {
    /** Returns the records of a service that are not in state {@code GONE}, sorted by server id. */
    List<EndpointRecord> of(String service);

    /** Returns all records that are not in state {@code GONE}. */
    Collection<EndpointRecord> all();
}
