package dev.zinniaring.soak;

import dev.zinniaring.standins.RowStoreServer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.StringJoiner;

/** Writes configurations to the store, as the users' operator would. */
final class Operator {
    /** Services, assigned to the backend servers of successive nodes in turn. */
    static final List<String> SERVICES = List.of("shelf", "orders");

    private static final String DOCUMENT =
            """
            {"version":"%08x","resources":[%s,
            {"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,
            "max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}
            """;
    private static final String ROUTE =
            """
            {"resource_type":"routes","metadata":{"name":"%s"},"spec":{"host":"%s","prefix":"%s",
            "kind":"%s","timeout_ms":%d,"target_latency_ms":800,"priority":%d,"service":"%s",
            "max_attempts":%d}}""";
    private static final String SERVICE =
            """
            {"resource_type":"services","metadata":{"name":"%s"},
            "spec":{"health_path":"/health","max_connections":100}}""";

    private final RowStoreServer store;
    private final Observations observations;
    private int number;
    private String latestRow = "";

    Operator(RowStoreServer store, Observations observations) {
        this.store = store;
        this.observations = observations;
    }

    /** Writes a new version, which moves {@link Route#MOVING} to the other service. */
    synchronized void change() {
        number++;
        String movingService = SERVICES.get(number % SERVICES.size());
        StringJoiner resources = new StringJoiner(",");
        for (String service : SERVICES) {
            resources.add(SERVICE.formatted(service));
        }
        for (Route route : Route.values()) {
            String service =
                    switch (route) {
                        case LOOKUP, REPORT -> SERVICES.get(0);
                        case ORDER -> SERVICES.get(1);
                        case MOVING -> movingService;
                    };
            resources.add(
                    ROUTE.formatted(
                            route.name(),
                            Route.HOST,
                            route.prefix(),
                            route.idempotent() ? "safe" : "unsafe",
                            Route.DEADLINE_MILLIS,
                            route.ordinal(),
                            service,
                            Route.MAX_ATTEMPTS));
        }
        String document = DOCUMENT.formatted(number, resources);
        latestRow = Base64.getEncoder().encodeToString(document.getBytes(StandardCharsets.UTF_8));
        writeAgain();
        observations.add(new Observations.Version(number, movingService, observations.nowMillis()));
    }

    /** Writes the latest version again, which a restored store may have lost. */
    synchronized void writeAgain() {
        store.write("op", "config", latestRow);
    }
}
