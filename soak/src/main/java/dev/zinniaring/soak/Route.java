package dev.zinniaring.soak;

/** The configured routes of a run. */
enum Route {
    /** Idempotent calls, which may be retried. */
    LOOKUP("/lookup/", true, 5, 80),
    /** Non-idempotent calls, which must run at most once. */
    ORDER("/order/", false, 5, 80),
    /** Long calls, some of which are cancelled by their callers. */
    REPORT("/report/", true, 600, 900),
    /** Calls whose service changes with each configuration version. */
    MOVING("/moving/", true, 5, 40);

    /** Deadline of each call, in milliseconds. */
    static final int DEADLINE_MILLIS = 2_000;

    /** Maximum number of backend servers to which one call may be sent. */
    static final int MAX_ATTEMPTS = 2;

    /** Value of the Host header of each call. */
    static final String HOST = "soak.example";

    private final String prefix;
    private final boolean idempotent;
    private final int minServiceMillis;
    private final int maxServiceMillis;

    Route(String prefix, boolean idempotent, int minServiceMillis, int maxServiceMillis) {
        this.prefix = prefix;
        this.idempotent = idempotent;
        this.minServiceMillis = minServiceMillis;
        this.maxServiceMillis = maxServiceMillis;
    }

    String prefix() {
        return prefix;
    }

    boolean idempotent() {
        return idempotent;
    }

    int minServiceMillis() {
        return minServiceMillis;
    }

    int maxServiceMillis() {
        return maxServiceMillis;
    }

    static Route of(String path) {
        for (Route route : values()) {
            if (path.startsWith(route.prefix)) {
                return route;
            }
        }
        throw new IllegalArgumentException("no route matches the path " + path);
    }
}
