package dev.zinniaring.node;

import java.util.Arrays;

/**
 * The ids of the calls that were sent on a connection. Keeps their hashes only: an id that is taken
 * for another one costs a connection.
 */
final class SentCallIds {
    /** Bounds the memory of a connection, and the time to look an id up. */
    static final int MAX_IDS = 1_000;

    private static final int INITIAL_IDS = 8;

    private int[] hashes = new int[INITIAL_IDS];
    private int count;

    /** Adds an id. Returns false if it was added before, or if the connection has had its share. */
    boolean add(String callId) {
        int hash = callId.hashCode();
        for (int i = 0; i < count; i++) {
            if (hashes[i] == hash) {
                return false;
            }
        }
        if (count == MAX_IDS) {
            return false;
        }
        if (count == hashes.length) {
            hashes = Arrays.copyOf(hashes, Math.min(MAX_IDS, 2 * count));
        }
        hashes[count] = hash;
        count++;
        return true;
    }

    int count() {
        return count;
    }
}
