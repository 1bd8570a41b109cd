package dev.zinniaring.calls;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The ids of the latest requests that a connection has carried. */
final class CarriedIds {
    /** Requests of one connection that are remembered; a late copy follows its request closely. */
    static final int MAX_IDS = 512;

    private static final int INITIAL_CAPACITY = 16;
    private static final HashFunction HASH = Hashing.murmur3_128();

    private long[] hashes = new long[INITIAL_CAPACITY];
    private int size;
    private int next;

    /** Adds an id; forgets the oldest one if there are too many. */
    void add(String id) {
        if (size == hashes.length && size < MAX_IDS) {
            hashes = Arrays.copyOf(hashes, 2 * size);
            next = size;
        }
        hashes[next] = hash(id);
        next = (next + 1) % hashes.length;
        size = Math.min(size + 1, hashes.length);
    }

    /** Returns whether an id is among the latest ones. */
    boolean contains(String id) {
        long hash = hash(id);
        for (int i = 0; i < size; i++) {
            if (hashes[i] == hash) {
                return true;
            }
        }
        return false;
    }

    private static long hash(String id) {
        return HASH.hashString(id, StandardCharsets.UTF_8).asLong();
    }
}
