package dev.zinniaring.admission;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Computes hashes of requests that are equal whenever the same request is sent again. */
public final class Fingerprints {
    /** Number of bytes from the start of the body that are hashed. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    private static final HashFunction HASH = Hashing.murmur3_128();

    private Fingerprints() {}

    /** Returns the fingerprint of a request that carries an idempotency key. */
    public static long ofKey(String route, String method, String path, String key) {
        return start(route, method, path)
                .putByte((byte) 'k')
                .putString(key, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /**
     * Returns the fingerprint of a request without an idempotency key, computed from the first
     * {@link #MAX_BODY_BYTES} of its body.
     */
    public static long ofBody(String route, String method, String path, byte[] body) {
        return start(route, method, path)
                .putByte((byte) 'b')
                .putBytes(body, 0, Math.min(body.length, MAX_BODY_BYTES))
                .hash()
                .asLong();
    }

    /**
     * Returns the fingerprint of a request without an idempotency key, as the same caller sends it
     * again: like {@link #ofBody}, but equal requests of two callers differ.
     *
     * @param caller header lines that tell callers apart, see {@link CallerHeaders}
     */
    public static long ofCaller(
            String route, String method, String path, List<String> caller, byte[] body) {
        Hasher hasher = start(route, method, path).putByte((byte) 'c').putInt(caller.size());
        for (String line : caller) {
            hasher.putInt(line.length()).putString(line, StandardCharsets.UTF_8);
        }
        return hasher.putBytes(body, 0, Math.min(body.length, MAX_BODY_BYTES)).hash().asLong();
    }

    private static Hasher start(String route, String method, String path) {
        // Length prefixes make ("a", "bc") and ("ab", "c") hash differently.
        return HASH.newHasher()
                .putInt(route.length())
                .putString(route, StandardCharsets.UTF_8)
                .putInt(method.length())
                .putString(method, StandardCharsets.UTF_8)
                .putInt(path.length())
                .putString(path, StandardCharsets.UTF_8);
    }
}
