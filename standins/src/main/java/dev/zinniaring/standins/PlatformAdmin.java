package dev.zinniaring.standins;

import dev.zinniaring.kernel.JsonFields;
import dev.zinniaring.kernel.Problem;
import dev.zinniaring.store.Fault;
import dev.zinniaring.store.FaultRule;
import dev.zinniaring.store.MemoryPlatform;
import dev.zinniaring.store.RequestKind;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * HTTP admin endpoints that inject faults and read request counters.
 *
 * <pre>
 * PUT /admin/faults      replaces the fault settings; each field is optional:
 *                        {"outage": false, "delayMillis": 0,
 *                         "readsPerSecond": 2000, "writesPerSecond": 300,
 *                         "writeFault": "none", "writeFaultShare": 1.0, "seed": 1}
 * POST /admin/delayed    applies the writes that were delayed by "lost-and-delayed"
 * GET /admin/counters    {"requests": {"get-row": 12, ...}, "receivedBytes", "sentBytes"}
 * </pre>
 */
final class PlatformAdmin {
    private static final int MAX_DELAY_MILLIS = 600_000;
    private static final int MAX_RATE = 10_000_000;

    private final MemoryPlatform platform;
    private final PlatformServer server;

    PlatformAdmin(MemoryPlatform platform, PlatformServer server) {
        this.platform = platform;
        this.server = server;
    }

    void addTo(RoutesConfig routes) {
        routes.put("/admin/faults", this::replaceFaults);
        routes.post("/admin/delayed", this::deliverDelayed);
        routes.get("/admin/counters", this::counters);
    }

    private record FaultSettings(
            boolean outage,
            int delayMillis,
            int readsPerSecond,
            int writesPerSecond,
            Fault writeFault,
            double writeFaultShare,
            int seed) {}

    private void replaceFaults(Context context) {
        List<Problem> problems = new ArrayList<>();
        FaultSettings settings = read(JsonFields.parse(context.body(), "", problems));
        if (!problems.isEmpty()) {
            context.status(HttpStatus.BAD_REQUEST);
            context.result(
                    problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
            return;
        }
        apply(settings);
        context.status(HttpStatus.NO_CONTENT);
    }

    private static FaultSettings read(JsonFields fields) {
        FaultSettings settings =
                new FaultSettings(
                        fields.flag("outage", false),
                        fields.integer("delayMillis", 0, MAX_DELAY_MILLIS, 0),
                        fields.integer("readsPerSecond", 1, MAX_RATE, MAX_RATE),
                        fields.integer("writesPerSecond", 1, MAX_RATE, MAX_RATE),
                        fields.choice("writeFault", Fault.class, Fault.NONE),
                        fields.number("writeFaultShare", 0, 1, 1),
                        fields.integer("seed", 0, Integer.MAX_VALUE, 1));
        fields.reportUnknownFields();
        return settings;
    }

    private void apply(FaultSettings settings) {
        platform.faults()
                .delay(Duration.ofMillis(settings.delayMillis))
                .limits(settings.readsPerSecond, settings.writesPerSecond)
                .rule(rule(settings))
                .outage(settings.outage);
    }

    private static FaultRule rule(FaultSettings settings) {
        SplittableRandom random = new SplittableRandom(settings.seed);
        return (kind, key) -> {
            if (!kind.isWrite()) {
                return Fault.NONE;
            }
            synchronized (random) {
                return random.nextDouble() < settings.writeFaultShare
                        ? settings.writeFault
                        : Fault.NONE;
            }
        };
    }

    private void deliverDelayed(Context context) {
        platform.deliverDelayed();
        context.status(HttpStatus.NO_CONTENT);
    }

    private void counters(Context context) {
        Map<String, Long> requests = new LinkedHashMap<>();
        for (RequestKind kind : RequestKind.values()) {
            String name = kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
            requests.put(name, platform.counts().of(kind));
        }
        Map<String, Object> counters = new LinkedHashMap<>();
        counters.put("requests", requests);
        counters.put("receivedBytes", server.receivedBytes());
        counters.put("sentBytes", server.sentBytes());
        context.json(counters);
    }
}
