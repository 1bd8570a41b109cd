package dev.zinniaring.store;

import java.util.Optional;

/** The platform's object store. Implementations are thread-safe. */
public interface ObjectStore {
    /** Stores a body under a key, replacing any existing body. Idempotent. */
    void put(String key, byte[] body) throws PlatformException;

    /** Returns the body under a key, or empty if there is none. */
    Optional<byte[]> get(String key) throws PlatformException;
}
