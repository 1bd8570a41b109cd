package dev.zinniaring.soak;

/** The routes of a run. */
enum Route {
    /** Calls that may be repeated. */
    LOOKUP("/lookup/", true, 5, 80),
    /** Calls that run once at most. */
    ORDER("/order/", false, 5, 80),
    /** Calls that take long, some of whose callers leave. */
    REPORT("/report/", true, 600, 900),
    /** Calls whose service changes with the configuration. */
    MOVING("/moving/", true, 5, 40);

    /** Deadline of each call, in milliseconds. */
    static final int DEADLINE_MILLIS = 2_000;

    /** Backend servers to which one call may be sent. */
    static final int MAX_ATTEMPTS = 2;

    /** Host of each call. */
    static final String HOST = "soak.example";

    private final String prefix;
    private final boolean idempotent;
    private final int leastWorkMillis;
    private final int mostWorkMillis;

    Route(String prefix, boolean idempotent, int leastWorkMillis, int mostWorkMillis) {
        this.prefix = prefix;
        this.idempotent = idempotent;
        this.leastWorkMillis = leastWorkMillis;
        this.mostWorkMillis = mostWorkMillis;
    }

    String prefix() {
        return prefix;
    }

    boolean idempotent() {
        return idempotent;
    }

    int leastWorkMillis() {
        return leastWorkMillis;
    }

    int mostWorkMillis() {
        return mostWorkMillis;
    }

    static Route of(String path) {
        for (Route route : values()) {
            if (path.startsWith(route.prefix)) {
                return route;
            }
        }
        throw new IllegalArgumentException("no route has the path " + path);
    }
}
