package dev.zinniaring.calls;

import java.util.List;

/** Describes the calls that the end of a process cuts, for the log. */
public final class CutCalls {
    private static final int MAX_IDS = 50;

    private CutCalls() {}

    /** Returns the number of the calls and the ids of the first of them. */
    public static String text(List<String> ids) {
        List<String> first = ids.subList(0, Math.min(MAX_IDS, ids.size()));
        return "count=%d calls=%s".formatted(ids.size(), String.join(",", first));
    }
}
