package dev.zinniaring.admission;

import java.util.Locale;
import java.util.Set;

/**
 * Tells which end-to-end headers of a request identify its caller. Headers that differ each time
 * the same caller sends the same request do not.
 */
public final class CallerHeaders {
    /** Names in lower case; the Host is part of a request's identity besides its caller. */
    private static final Set<String> DIFFERENT_EACH_TIME =
            Set.of(
                    "host",
                    "date",
                    "via",
                    "forwarded",
                    "x-forwarded-for",
                    "x-forwarded-host",
                    "x-forwarded-proto",
                    "x-request-id",
                    "x-correlation-id",
                    "traceparent",
                    "tracestate",
                    "baggage",
                    "b3",
                    "x-b3-traceid",
                    "x-b3-spanid",
                    "x-b3-parentspanid",
                    "x-b3-sampled");

    private CallerHeaders() {}

    /** Returns whether the header with this name is the same whenever a caller sends a request. */
    public static boolean identifyCaller(String name) {
        return !DIFFERENT_EACH_TIME.contains(name.toLowerCase(Locale.ROOT));
    }
}
