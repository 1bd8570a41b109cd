package dev.zinniaring.calls;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/** Headers that nodes exchange with each other, and the rules for forwarding headers. */
public final class HopHeaders {
    /** Id of the backend server that the entry node selected. */
    static final String OWNER_HOP = "Zinniaring-Owner-Hop";

    /** Order of the call's rank; 0 is the most urgent. */
    static final String RANK = "Zinniaring-Rank";

    /** Name of the call's route, by which run times are averaged. */
    static final String ROUTE = "Zinniaring-Route";

    /** Latency target that the route declares, in milliseconds. */
    static final String ROUTE_TARGET = "Zinniaring-Route-Target-Ms";

    /** Time left until the call's latency target, in milliseconds; negative once it has passed. */
    static final String TARGET = "Zinniaring-Target-Ms";

    /**
     * Request limit of the server as the entry node knows it, in requests per second; absent if it
     * knows of none.
     */
    static final String KNOWN_LIMIT = "Zinniaring-Known-Limit";

    /**
     * What is known of the crashes at which the request was in flight; see {@link SuspectHeader}.
     */
    static final String SUSPECT = "Zinniaring-Suspect";

    /** Present if the call may go to another server when this one is slow. */
    static final String FIRST_PLACEMENT = "Zinniaring-First-Placement";

    /** Outcome of the call: the header value of an {@link OwnerResult.Outcome}. */
    static final String OUTCOME = "Zinniaring-Outcome";

    /** Reason code of a refusal or failure. */
    static final String REASON = "Zinniaring-Reason";

    /** Encoded {@link ServerLoad} of the backend server. */
    static final String LOAD = "Zinniaring-Load";

    /** Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that each hop sets itself. */
    private static final Set<String> HOP_BY_HOP_HEADERS =
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

    /**
     * Headers that only nodes may set. Values from clients and backend servers are dropped, so that
     * these cannot forge them.
     */
    private static final Set<String> INTERNAL_HEADERS =
            Set.of(
                    lowerCase(OWNER_HOP),
                    lowerCase(RANK),
                    lowerCase(ROUTE),
                    lowerCase(ROUTE_TARGET),
                    lowerCase(TARGET),
                    lowerCase(KNOWN_LIMIT),
                    lowerCase(SUSPECT),
                    lowerCase(FIRST_PLACEMENT),
                    lowerCase(OUTCOME),
                    lowerCase(REASON),
                    lowerCase(LOAD));

    /** Names beyond this number, which callers choose, are not remembered. */
    private static final int MAX_KNOWN_NAMES = 256;

    /** Whether headers are forwarded, by name as received; most calls carry the same ones. */
    private static final Map<String, Boolean> FORWARDED = new ConcurrentHashMap<>();

    private HopHeaders() {}

    /**
     * Returns empty headers for names that were decoded or are constants, which need no second
     * validation. Values are validated, since ids and route names come from other processes.
     */
    static HttpHeaders withKnownNames() {
        return DefaultHttpHeadersFactory.headersFactory().withNameValidation(false).newHeaders();
    }

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }

    /** Returns whether a header, named in lower case, applies to a single connection only. */
    public static boolean isHopByHop(String name) {
        return HOP_BY_HOP_HEADERS.contains(name);
    }

    /**
     * Removes the headers that a client names in {@code Connection} (RFC 9110, section 7.6.1), and
     * {@code Connection} itself. What is set afterwards is forwarded whatever the client has named.
     *
     * @param kept tells which headers are meant for the server even if the client names them
     */
    static void removeConnectionOptions(HttpHeaders headers, Predicate<String> kept) {
        for (String options : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String option : options.split(",")) {
                String name = option.trim();
                if (!name.isEmpty() && !kept.test(name)) {
                    headers.remove(name);
                }
            }
        }
        headers.remove(HttpHeaderNames.CONNECTION);
    }

    /** Copies the end-to-end headers, except those that only nodes may set. */
    static void copyEndToEnd(HttpHeaders from, HttpHeaders to) {
        forEachEndToEnd(from, to::add);
    }

    /** Passes on the name and value of each end-to-end header that not only nodes may set. */
    static void forEachEndToEnd(HttpHeaders from, BiConsumer<String, CharSequence> action) {
        String connection = from.get(HttpHeaderNames.CONNECTION);
        String connectionOptions =
                connection == null
                        ? ""
                        : String.join(",", from.getAll(HttpHeaderNames.CONNECTION))
                                .toLowerCase(Locale.ROOT);
        Iterator<Map.Entry<CharSequence, CharSequence>> headers = from.iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            String name = header.getKey().toString();
            if (isForwarded(name) && !listsHeader(connectionOptions, name)) {
                action.accept(name, header.getValue());
            }
        }
    }

    private static boolean isForwarded(String name) {
        Boolean known = FORWARDED.get(name);
        if (known != null) {
            return known;
        }
        String lowerCase = lowerCase(name);
        boolean forwarded = !isHopByHop(lowerCase) && !INTERNAL_HEADERS.contains(lowerCase);
        if (FORWARDED.size() < MAX_KNOWN_NAMES) {
            FORWARDED.put(name, forwarded);
        }
        return forwarded;
    }

    private static boolean listsHeader(String connectionOptions, String name) {
        if (connectionOptions.isEmpty() || !connectionOptions.contains(lowerCase(name))) {
            return false;
        }
        for (String token : connectionOptions.split(",")) {
            if (token.trim().equalsIgnoreCase(name)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the integer in a header, or {@code fallback} if it is absent or malformed. */
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
