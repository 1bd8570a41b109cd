package dev.zinniaring.standins;

import java.util.Map;

/**
 * A stream of identical calls that a {@link LoadGenerator} sends at a steady mean rate.
 *
 * @param name name of the stream in the results, usually the rank of its calls
 * @param method HTTP method
 * @param path path of each call, with the query if any
 * @param headers headers of each call
 * @param body body of each call, empty for none
 * @param callsPerSecond mean arrival rate; intervals are exponentially distributed
 */
public record LoadStream(
        String name,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        double callsPerSecond) {
    /** Returns a stream of POST calls with a body of one byte. */
    public static LoadStream posting(String name, String path, double callsPerSecond) {
        return new LoadStream(name, "POST", path, Map.of(), new byte[] {'x'}, callsPerSecond);
    }

    /** Returns a stream of GET calls. */
    public static LoadStream getting(String name, String path, double callsPerSecond) {
        return new LoadStream(name, "GET", path, Map.of(), new byte[0], callsPerSecond);
    }

    /** Returns a copy of this stream whose calls carry an additional header. */
    public LoadStream withHeader(String header, String value) {
        Map<String, String> more = new java.util.TreeMap<>(headers);
        more.put(header, value);
        return new LoadStream(name, method, path, Map.copyOf(more), body, callsPerSecond);
    }
}
