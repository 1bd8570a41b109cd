package dev.zinniaring.sidecar;

/**
 * Location and format of the configuration on a platform.
 *
 * @param configurationTable store table that contains the configuration
 * @param configurationKey key of the row that contains it
 * @param reader parser of the row's value
 * @param rollouts orders of roll-outs, which stand in the same table
 */
public record ConfigurationSource(
        String configurationTable,
        String configurationKey,
        ConfigurationReader reader,
        RolloutDocuments rollouts) {
    /** Creates the location of a configuration on a platform without roll-outs. */
    public ConfigurationSource(
            String configurationTable, String configurationKey, ConfigurationReader reader) {
        this(configurationTable, configurationKey, reader, RolloutDocuments.NONE);
    }
}
