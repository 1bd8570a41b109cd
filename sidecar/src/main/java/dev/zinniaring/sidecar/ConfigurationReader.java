package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Configuration;
import dev.zinniaring.model.InvalidTablesException;

/**
 * Reads a configuration version from the document that operators store on the platform. A reader
 * may keep what it has read last, to read the next version for the cost of what differs; it is used
 * by one thread at a time.
 */
@FunctionalInterface
public interface ConfigurationReader {
    /** Number of a version whose document does not tell it before it is read. */
    long UNKNOWN_NUMBER = Long.MAX_VALUE;

    /**
     * Returns the configuration in a document.
     *
     * @throws InvalidTablesException listing every problem, if the document is not a valid
     *     configuration
     */
    Configuration read(byte[] bytes) throws InvalidTablesException;

    /**
     * Returns the version number of a document without reading the rest of it, or {@link
     * #UNKNOWN_NUMBER}.
     */
    default long number(byte[] bytes) {
        return UNKNOWN_NUMBER;
    }
}
