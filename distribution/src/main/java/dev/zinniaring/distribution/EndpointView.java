package dev.zinniaring.distribution;

import dev.zinniaring.model.EndpointRecord;
import java.util.Collection;
import java.util.List;

/** An immutable picture of the endpoint records. */
public interface EndpointView {
    /** Returns the records of a service that are not gone, sorted by server. */
    List<EndpointRecord> of(String service);

    /** Returns all records that are not gone. */
    Collection<EndpointRecord> all();
}
