package dev.zinniaring.calls;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads from the Keep-Alive header how long an idle connection may be used again. */
final class KeepAlive {
    /** Keep-alive time of servers that send no Keep-Alive header. */
    static final long DEFAULT_MILLIS = 8_000;

    /** Idle connections are closed this long before the server would close them. */
    private static final long MARGIN_MILLIS = 1_000;

    private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    private KeepAlive() {}

    /**
     * Returns the time that an answer names, in milliseconds, or the known one if it names none.
     */
    static long millis(HttpHeaders headers, long knownMillis) {
        String value = headers.get("Keep-Alive");
        if (value == null) {
            return knownMillis;
        }
        Matcher matcher = TIMEOUT.matcher(value.toLowerCase(Locale.ROOT));
        return matcher.find()
                ? Long.parseLong(matcher.group(1)) * 1_000 - MARGIN_MILLIS
                : knownMillis;
    }
}
