package dev.zinniaring.sidecar;

import org.jspecify.annotations.Nullable;

/**
 * A configuration document as it arrived: plain from the store; compressed, or as the steps that
 * lead to it from an earlier version, from another node. Each form is made at most once.
 */
final class ConfigurationDocument {
    /** Source of the documents that were read from the store. */
    static final String STORE = "store";

    private final String source;
    private final long arrivedNanos;
    private byte @Nullable [] encodedSteps;
    private @Nullable ConfigurationDocument base;
    private volatile byte @Nullable [] plain;
    private volatile byte @Nullable [] compressed;
    private VersionSteps steps = VersionSteps.NONE;

    private ConfigurationDocument(
            String source,
            long arrivedNanos,
            byte @Nullable [] encodedSteps,
            @Nullable ConfigurationDocument base) {
        this.source = source;
        this.arrivedNanos = arrivedNanos;
        this.encodedSteps = encodedSteps;
        this.base = base;
    }

    /** Creates a document that arrived as it is. */
    static ConfigurationDocument plain(byte[] bytes, String source, long arrivedNanos) {
        ConfigurationDocument document =
                new ConfigurationDocument(source, arrivedNanos, null, null);
        document.plain = bytes;
        return document;
    }

    /** Creates a document that arrived compressed. */
    static ConfigurationDocument compressed(byte[] bytes, String source, long arrivedNanos) {
        ConfigurationDocument document =
                new ConfigurationDocument(source, arrivedNanos, null, null);
        document.compressed = bytes;
        return document;
    }

    /** Creates a document that arrived as the steps that lead to it from another one. */
    static ConfigurationDocument steps(
            byte[] encodedSteps, ConfigurationDocument base, String source, long arrivedNanos) {
        return new ConfigurationDocument(source, arrivedNanos, encodedSteps, base);
    }

    /** Returns where the document came from, for the log. */
    String source() {
        return source;
    }

    /** Returns the clock reading at which the document arrived, in nanoseconds. */
    long arrivedNanos() {
        return arrivedNanos;
    }

    /**
     * Returns the document.
     *
     * @throws SidecarException if what arrived is malformed, or leads on from another document
     */
    byte[] bytes() throws SidecarException {
        byte[] made = plain;
        if (made == null) {
            made = make();
            plain = made;
        }
        return made;
    }

    private byte[] make() throws SidecarException {
        byte[] arrivedSteps = encodedSteps;
        ConfigurationDocument earlier = base;
        if (arrivedSteps == null || earlier == null) {
            byte[] arrived = compressed;
            return Compression.decompress(arrived == null ? new byte[0] : arrived);
        }
        VersionSteps decoded = VersionSteps.decode(arrivedSteps);
        byte[] reached = decoded.apply(earlier.bytes());
        steps = decoded;
        // Otherwise each document would keep all earlier ones in memory.
        base = null;
        encodedSteps = null;
        return reached;
    }

    /** Returns whether the document could be made from what arrived. */
    boolean made() {
        return plain != null;
    }

    /** Returns the steps that lead to the document, if it arrived as such and has been read. */
    VersionSteps steps() {
        return steps;
    }

    /** Returns whether the document was read from the store, and not from another node. */
    boolean fromStore() {
        return source.equals(STORE);
    }

    /** Returns the document in the form in which it is sent to other nodes. */
    byte[] compressed() {
        byte[] made = compressed;
        if (made == null) {
            byte[] whole = plain;
            made = Compression.compress(whole == null ? new byte[0] : whole);
            compressed = made;
        }
        return made;
    }
}
