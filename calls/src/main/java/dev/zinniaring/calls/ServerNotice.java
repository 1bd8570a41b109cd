package dev.zinniaring.calls;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;

/**
 * What a backend server says about itself in the headers of an answer.
 *
 * @param limitPerSecond requests per second that it accepts from all nodes together; empty if it
 *     names no limit
 * @param limitMalformed whether it names a limit that is not a finite number of at least 0
 * @param leaving whether it is leaving
 */
public record ServerNotice(OptionalDouble limitPerSecond, boolean limitMalformed, boolean leaving) {
    private static final int MAX_NUMBER_LENGTH = 32;

    /** Reads the headers of an answer. */
    public static ServerNotice of(HttpHeaders headers, HeaderNames names) {
        return of(headers.get(names.serverLimit()), headers.get(names.serverLeaving()));
    }

    /** Reads the values of the headers, null if absent. */
    public static ServerNotice of(@Nullable String limit, @Nullable String leaving) {
        OptionalDouble limitPerSecond = limit == null ? OptionalDouble.empty() : parseLimit(limit);
        return new ServerNotice(
                limitPerSecond, limit != null && limitPerSecond.isEmpty(), "1".equals(leaving));
    }

    /** Parses a limit; returns empty unless it is a finite number of at least 0. */
    static OptionalDouble parseLimit(String text) {
        if (text.length() > MAX_NUMBER_LENGTH) {
            return OptionalDouble.empty();
        }
        try {
            double value = Double.parseDouble(text);
            return Double.isFinite(value) && value >= 0
                    ? OptionalDouble.of(value)
                    : OptionalDouble.empty();
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }
}
