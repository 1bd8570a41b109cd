package dev.zinniaring.distribution;

import dev.zinniaring.model.Version;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The configuration versions of this node. The number of the active version only ever increases.
 */
public interface Versions {
    /** Returns the active version, or empty until the node may activate one. One atomic read. */
    Optional<Version> active();

    /** Registers a listener that is called with each version when it becomes active, in order. */
    void subscribe(Consumer<Version> listener);
}
