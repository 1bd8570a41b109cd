package dev.zinniaring.store;

import java.util.Optional;

/** The platform's object store. Safe for use by several threads. */
public interface ObjectStore {
    /** Stores a body under a key, replacing what stood there. Repeating it is harmless. */
    void put(String key, byte[] body) throws PlatformException;

    /** Returns the body under a key, or empty if there is none. */
    Optional<byte[]> get(String key) throws PlatformException;
}
