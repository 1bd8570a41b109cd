package dev.zinniaring.sidecar;

import org.jspecify.annotations.Nullable;

/**
 * A configuration document as it arrived: plain from the store, compressed from another node. Each
 * form is made from the other at most once.
 */
final class ConfigurationDocument {
    private final String source;
    private final long arrivedNanos;
    private byte @Nullable [] plain;
    private byte @Nullable [] compressed;

    private ConfigurationDocument(
            String source,
            long arrivedNanos,
            byte @Nullable [] plain,
            byte @Nullable [] compressed) {
        this.source = source;
        this.arrivedNanos = arrivedNanos;
        this.plain = plain;
        this.compressed = compressed;
    }

    /** Creates a document that arrived as it is. */
    static ConfigurationDocument plain(byte[] bytes, String source, long arrivedNanos) {
        return new ConfigurationDocument(source, arrivedNanos, bytes, null);
    }

    /** Creates a document that arrived compressed. */
    static ConfigurationDocument compressed(byte[] bytes, String source, long arrivedNanos) {
        return new ConfigurationDocument(source, arrivedNanos, null, bytes);
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
     * @throws SidecarException if it arrived compressed and the compressed form is malformed
     */
    byte[] bytes() throws SidecarException {
        byte[] made = plain;
        if (made == null) {
            made = Compression.decompress(compressed == null ? new byte[0] : compressed);
            plain = made;
        }
        return made;
    }

    /** Returns the document in the form in which it is sent to other nodes. */
    byte[] compressed() {
        byte[] made = compressed;
        if (made == null) {
            made = Compression.compress(plain == null ? new byte[0] : plain);
            compressed = made;
        }
        return made;
    }
}
