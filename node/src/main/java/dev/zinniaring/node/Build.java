package dev.zinniaring.node;

/** Names the build that runs. */
final class Build {
    private static final String UNPACKED = "development";

    private Build() {}

    /** Returns the version in the jar's manifest, or a fixed word if there is no jar. */
    static String version() {
        String version = Build.class.getPackage().getImplementationVersion();
        return version == null ? UNPACKED : version;
    }
}
