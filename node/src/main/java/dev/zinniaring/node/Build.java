package dev.zinniaring.node;

/** Version of the running build. */
final class Build {
    private static final String UNPACKED = "development";

    private Build() {}

    /** Returns the version from the jar's manifest, or {@code development} outside a jar. */
    static String version() {
        String version = Build.class.getPackage().getImplementationVersion();
        return version == null ? UNPACKED : version;
    }
}
