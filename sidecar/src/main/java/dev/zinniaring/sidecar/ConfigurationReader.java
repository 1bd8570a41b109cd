package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Configuration;
import dev.zinniaring.model.ModelException;

/** Reads a version of the configuration from the bytes that operators keep on the platform. */
@FunctionalInterface
public interface ConfigurationReader {
    /**
     * Returns the configuration in the bytes.
     *
     * @throws ModelException with every problem, if the bytes hold no valid configuration
     */
    Configuration read(byte[] bytes) throws ModelException;
}
