package dev.zinniaring.node;

import dev.zinniaring.routing.CallResult;
import dev.zinniaring.routing.ReportedLoad;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/** The load of a backend server as reported during an attempt. Not thread-safe. */
final class LoadReport {
    private static final int MAX_DIGITS = 9;

    private @Nullable ReportedLoad load;
    private int pressure = CallResult.NO_PRESSURE;

    /** Reads the load from the headers of a node's response. */
    void read(Response response) {
        read(response.header(CallHeaders.LOAD), response.header(CallHeaders.PRESSURE));
    }

    /** Reads the load from the values of the load and pressure headers. */
    void read(@Nullable String loadText, @Nullable String pressureText) {
        load = parse(loadText);
        int order = number(pressureText);
        pressure = order < 0 ? CallResult.NO_PRESSURE : order;
    }

    private static @Nullable ReportedLoad parse(@Nullable String text) {
        int slash = text == null ? -1 : text.indexOf('/');
        if (text == null || slash < 0) {
            return null;
        }
        int outstanding = number(text.substring(0, slash));
        int limit = number(text.substring(slash + 1));
        return outstanding < 0 || limit < 1 ? null : new ReportedLoad(outstanding, limit);
    }

    private static int number(@Nullable String text) {
        if (text == null || text.isEmpty() || text.length() > MAX_DIGITS) {
            return -1;
        }
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return -1;
            }
        }
        return Integer.parseInt(text);
    }

    @Nullable ReportedLoad load() {
        return load;
    }

    int pressure() {
        return pressure;
    }
}
