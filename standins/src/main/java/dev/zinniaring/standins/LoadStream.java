package dev.zinniaring.standins;

import java.util.Map;

/**
 * Calls of one kind that a {@link LoadGenerator} sends at a steady rate.
 *
 * @param name key of the stream in the result, usually the rank
 * @param method HTTP method
 * @param path path and query of each call
 * @param headers headers of each call
 * @param body body of each call, empty for none
 * @param callsPerSecond rate of arrivals, which are spaced exponentially
 */
public record LoadStream(
        String name,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        double callsPerSecond) {
    /** Returns a stream of POST calls with a small body. */
    public static LoadStream posting(String name, String path, double callsPerSecond) {
        return new LoadStream(name, "POST", path, Map.of(), new byte[] {'x'}, callsPerSecond);
    }

    /** Returns a stream of GET calls. */
    public static LoadStream getting(String name, String path, double callsPerSecond) {
        return new LoadStream(name, "GET", path, Map.of(), new byte[0], callsPerSecond);
    }

    /** Returns this stream with a header on each call. */
    public LoadStream withHeader(String header, String value) {
        Map<String, String> more = new java.util.TreeMap<>(headers);
        more.put(header, value);
        return new LoadStream(name, method, path, Map.copyOf(more), body, callsPerSecond);
    }
}
