package dev.zinniaring.distribution;

import dev.zinniaring.model.Version;
import java.util.Optional;
import java.util.function.Consumer;

/** The configuration in force on this node. Only ever moves to higher numbers. */
public interface Versions {
    /** Returns the version in force; empty until the node may serve one. One atomic read. */
    Optional<Version> inForce();

    /** Registers a listener, which is called with each version as it comes into force, in order. */
    void subscribe(Consumer<Version> listener);
}
