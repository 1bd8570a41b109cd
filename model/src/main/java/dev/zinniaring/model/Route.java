package dev.zinniaring.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Collections;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;

/**
 * Sends the calls that match a host, path prefix and method to a pool.
 *
 * @param name unique name
 * @param host host name in lower case, or {@code *} for any
 * @param pathPrefix prefix of whole path segments, starting with {@code /}
 * @param methods HTTP methods in upper case; empty for all
 * @param rank name of the {@link Rank}
 * @param idempotent whether executing a call twice has the same effect as executing it once
 * @param deadlineMillis maximum duration of a call, in milliseconds
 * @param maxRetries maximum number of retries of one call after its first attempt
 * @param pool name of the {@link Pool}; ignored if {@code split} is not empty
 * @param targetMillis target latency in milliseconds, within which a response has the full {@link
 *     Rank#worth}; 0 if none is declared
 * @param split weights by pool name, if calls are split between several pools; otherwise empty
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        SortedSet<String> methods,
        String rank,
        boolean idempotent,
        int deadlineMillis,
        int maxRetries,
        String pool,
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) int targetMillis,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) SortedMap<String, Integer> split) {

    /** Creates a route that sends every call to one pool and declares no target latency. */
    public Route(
            String name,
            String host,
            String pathPrefix,
            SortedSet<String> methods,
            String rank,
            boolean idempotent,
            int deadlineMillis,
            int maxRetries,
            String pool) {
        this(
                name,
                host,
                pathPrefix,
                methods,
                rank,
                idempotent,
                deadlineMillis,
                maxRetries,
                pool,
                0,
                Collections.emptySortedMap());
    }

    /** Returns the names of the pools to which the route sends calls. */
    public Set<String> pools() {
        return split.isEmpty() ? Set.of(pool) : split.keySet();
    }
}
