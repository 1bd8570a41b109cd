package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Configuration;
import dev.zinniaring.model.ModelException;

/** Parses a configuration version from the document that operators store on the platform. */
@FunctionalInterface
public interface ConfigurationReader {
    /**
     * Returns the parsed configuration.
     *
     * @throws ModelException listing every problem, if the document is not a valid configuration
     */
    Configuration read(byte[] bytes) throws ModelException;
}
