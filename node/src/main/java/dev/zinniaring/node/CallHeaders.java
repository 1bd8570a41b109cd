package dev.zinniaring.node;

import dev.zinniaring.calls.HopHeaders;
import java.util.Locale;
import java.util.Set;

/** Names of the headers that the call path reads or writes. */
final class CallHeaders {
    static final String RANK = "Zinniaring-Rank";
    static final String DEADLINE_MS = "Zinniaring-Deadline-Ms";
    static final String DEPTH = "Zinniaring-Depth";
    static final String CALL_ID = "Zinniaring-Call-Id";
    static final String OWNER_HOP = "Zinniaring-Owner-Hop";
    static final String ATTEMPT = "Zinniaring-Attempt";
    static final String LOAD = "Zinniaring-Load";
    static final String SERVER_LIMIT = "Zinniaring-Server-Limit";
    static final String SERVER_LEAVING = "Zinniaring-Server-Leaving";
    static final String PRESSURE = "Zinniaring-Pressure";
    static final String OUTCOME = "Zinniaring-Outcome";
    static final String REASON = "Zinniaring-Reason";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    static final String IDEMPOTENCY_RESEND = "Idempotency-Resend";

    /**
     * Replaces {@code Retry-After} inside OkHttp, which would resend a request that got a 503 with
     * the value 0.
     */
    static final String HELD_RETRY_AFTER = "Zinniaring-Held-Retry-After";

    /** Headers that are not forwarded, as the call path sets them itself. */
    private static final Set<String> WRITTEN_ANEW =
            Set.of(
                    "zinniaring-rank",
                    "zinniaring-deadline-ms",
                    "zinniaring-depth",
                    "zinniaring-call-id",
                    "zinniaring-owner-hop",
                    "zinniaring-attempt",
                    "zinniaring-load",
                    "zinniaring-pressure",
                    "zinniaring-outcome",
                    "zinniaring-reason",
                    "zinniaring-held-retry-after");

    private CallHeaders() {}

    /** Returns whether a header is forwarded even if the client names it in {@code Connection}. */
    static boolean endToEnd(String name) {
        return name.equalsIgnoreCase("Host")
                || name.equalsIgnoreCase(IDEMPOTENCY_KEY)
                || name.equalsIgnoreCase(IDEMPOTENCY_RESEND);
    }

    /** Returns whether a header is forwarded unchanged. */
    static boolean forwarded(String name) {
        String lowerCase = name.toLowerCase(Locale.ROOT);
        return !HopHeaders.isHopByHop(lowerCase) && !WRITTEN_ANEW.contains(lowerCase);
    }
}
