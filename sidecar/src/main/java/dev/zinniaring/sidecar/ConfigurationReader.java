package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Configuration;
import dev.zinniaring.model.InvalidTablesException;

/** Parses a configuration version from the document that operators store on the platform. */
@FunctionalInterface
public interface ConfigurationReader {
    /**
     * Returns the parsed configuration.
     *
     * @throws InvalidTablesException listing every problem, if the document is not a valid
     *     configuration
     */
    Configuration read(byte[] bytes) throws InvalidTablesException;
}
