package dev.zinniaring.publish;

import java.util.Map;
import java.util.Optional;

/** What nodes read of the published versions. Safe for use by several threads. */
public interface VersionSource {
    /** Returns the head; its number is 0 if nothing was ever published. */
    Head head() throws PublishException;

    /** Returns the head if the head row's revision is above {@code knownRevision}. */
    Optional<Head> headIfNewer(long knownRevision) throws PublishException;

    /**
     * Returns the canonical bytes with the given hash, verified against it.
     *
     * @throws PublishException if they are missing, do not match or cannot be read
     */
    byte[] body(String hash) throws PublishException;

    /**
     * Returns the delta between two bodies, as {@code TablesDelta} writes it, or empty if the
     * platform holds none. A delta is a shortcut: whoever cannot use it reads the body.
     */
    default Optional<byte[]> delta(String baseHash, String hash) throws PublishException {
        return Optional.empty();
    }

    /** Returns the marks that seeds have left on the platform, by seed. */
    Map<String, Long> marks() throws PublishException;

    /** Leaves a seed's mark on the platform; a lower mark than the present one changes nothing. */
    void putMark(String seed, long mark) throws PublishException;
}
