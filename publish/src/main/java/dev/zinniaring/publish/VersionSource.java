package dev.zinniaring.publish;

import java.util.Map;
import java.util.Optional;

/** Read access of nodes to the published versions, and the marks of seeds. Thread-safe. */
public interface VersionSource {
    /** Returns the head; its number is 0 if no version was ever published. */
    Head head() throws PublishException;

    /** Returns the head if the revision of its row differs from {@code knownRevision}. */
    Optional<Head> headIfChanged(long knownRevision) throws PublishException;

    /**
     * Returns the canonical bytes with the given hash, verified against it.
     *
     * @throws PublishException if the bytes are missing, cannot be read or do not match the hash
     */
    byte[] body(String hash) throws PublishException;

    /**
     * Returns the delta between two bodies, in the format of {@code TablesDelta}, or empty if the
     * platform has none. A delta is an optimisation; callers that cannot use it read the body.
     */
    default Optional<byte[]> delta(String baseHash, String hash) throws PublishException {
        return Optional.empty();
    }

    /** Returns the marks of seeds that are stored on the platform, by key. */
    Map<String, Long> marks() throws PublishException;

    /** Stores a mark on the platform. Has no effect if the present mark is not lower. */
    void putMark(String seed, long mark) throws PublishException;
}
