package dev.zinniaring.store;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** In-memory object storage of {@link MemoryPlatform}. Thread-safe. */
final class MemoryObjects {
    private final Map<String, byte[]> bodies = new ConcurrentHashMap<>();

    Optional<byte[]> get(String key) {
        return Optional.ofNullable(bodies.get(key)).map(byte[]::clone);
    }

    /** Stores a body without copying it, and returns it. */
    byte[] put(String key, byte[] body) {
        bodies.put(key, body);
        return body;
    }
}
