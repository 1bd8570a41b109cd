package dev.zinniaring.calls;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Set;

/** Headers between nodes, and which headers are passed on. */
public final class HopHeaders {
    /** Id of the backend server that the entry node chose. */
    static final String OWNER_HOP = "Zinniaring-Owner-Hop";

    /** Order of the call's rank; 0 is the most urgent. */
    static final String RANK = "Zinniaring-Rank";

    /** Name of the call's route, which groups run times. */
    static final String ROUTE = "Zinniaring-Route";

    /** Target that the route declares, in milliseconds. */
    static final String ROUTE_TARGET = "Zinniaring-Route-Target-Ms";

    /** Time left until the call's target, in milliseconds; below 0 once the target has passed. */
    static final String TARGET = "Zinniaring-Target-Ms";

    /** What is known of the call: the word of an {@link OwnerResult.Outcome}. */
    static final String OUTCOME = "Zinniaring-Outcome";

    /** Short word for the cause of a refusal or failure. */
    static final String REASON = "Zinniaring-Reason";

    /** {@link ServerLoad} of the backend server. */
    static final String LOAD = "Zinniaring-Load";

    /** Headers of one connection (RFC 9110, section 7.6.1) and those that are written anew. */
    private static final Set<String> CONNECTION_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect");

    /** Headers that only nodes may set. */
    private static final Set<String> HOP_HEADERS =
            Set.of(
                    lowerCase(OWNER_HOP),
                    lowerCase(RANK),
                    lowerCase(ROUTE),
                    lowerCase(ROUTE_TARGET),
                    lowerCase(TARGET),
                    lowerCase(OUTCOME),
                    lowerCase(REASON),
                    lowerCase(LOAD));

    private HopHeaders() {}

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }

    /** Returns whether a header, in lower case, concerns one connection only. */
    public static boolean ofConnection(String name) {
        return CONNECTION_HEADERS.contains(name);
    }

    /** Copies the headers that do not concern one connection and are not for nodes only. */
    static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        copy(from, to, false);
    }

    /** Copies the headers that do not concern one connection. */
    static void copyAll(HttpHeaders from, HttpHeaders to) {
        copy(from, to, true);
    }

    private static void copy(HttpHeaders from, HttpHeaders to, boolean hopHeaders) {
        String named = String.join(",", from.getAll("Connection")).toLowerCase(Locale.ROOT);
        from.forEach(
                header -> {
                    String name = lowerCase(header.getKey());
                    if (!ofConnection(name)
                            && (hopHeaders || !HOP_HEADERS.contains(name))
                            && !names(named, name)) {
                        to.add(header.getKey(), header.getValue());
                    }
                });
    }

    private static boolean names(String connection, String name) {
        if (connection.isEmpty() || !connection.contains(name)) {
            return false;
        }
        for (String token : connection.split(",")) {
            if (token.trim().equals(name)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the whole number in a header, or {@code fallback} if it is absent or malformed. */
    static long number(HttpHeaders headers, String name, long fallback) {
        String value = headers.get(name);
        if (value == null || value.isEmpty() || value.length() > 15) {
            return fallback;
        }
        try {
            return Long.parseLong(value.trim());
        } catch (NumberFormatException e) {
            return fallback;
        }
    }
}
