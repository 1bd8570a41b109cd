package dev.zinniaring.model;

import java.util.SortedSet;

/**
 * Sends the calls that match a host, path prefix and method to a pool.
 *
 * @param name unique name
 * @param host host name in lower case, or {@code *} for any
 * @param pathPrefix prefix of whole path segments, starting with {@code /}
 * @param methods HTTP methods in upper case; empty for any
 * @param rank name of the {@link Rank}
 * @param idempotent whether running a call twice has the same effect as running it once
 * @param deadlineMillis longest time that a call may take, in milliseconds
 * @param maxRetries attempts after the first that one call may make
 * @param pool name of the {@link Pool}
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
        String pool) {}
