package dev.zinniaring.sidecar;

/**
 * Location and format of the configuration on a platform.
 *
 * @param configurationTable store table that contains the configuration
 * @param configurationKey key of the row that contains it
 * @param reader parser of the row's value
 */
public record ConfigurationSource(
        String configurationTable, String configurationKey, ConfigurationReader reader) {}
