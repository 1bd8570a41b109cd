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
 * Switches faults and reads counters over HTTP.
 *
 * <pre>
 * PUT /admin/faults      replaces all switches; each field is optional:
 *                        {"outage": false, "delayMillis": 0,
 *                         "readsPerSecond": 2000, "writesPerSecond": 300,
 *                         "writeFault": "none", "writeFaultShare": 1.0, "seed": 1}
 * POST /admin/delayed    lets the writes held back by "lost-and-delayed" take effect
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
        routes.put("/admin/faults", this::switchFaults);
        routes.post("/admin/delayed", this::deliverDelayed);
        routes.get("/admin/counters", this::counters);
    }

    private record Switches(
            boolean outage,
            int delayMillis,
            int readsPerSecond,
            int writesPerSecond,
            Fault writeFault,
            double writeFaultShare,
            int seed) {}

    private void switchFaults(Context context) {
        List<Problem> problems = new ArrayList<>();
        Switches switches = read(JsonFields.parse(context.body(), "", problems));
        if (!problems.isEmpty()) {
            context.status(HttpStatus.BAD_REQUEST);
            context.result(
                    problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
            return;
        }
        apply(switches);
        context.status(HttpStatus.NO_CONTENT);
    }

    private static Switches read(JsonFields fields) {
        Switches switches =
                new Switches(
                        fields.flag("outage", false),
                        fields.integer("delayMillis", 0, MAX_DELAY_MILLIS, 0),
                        fields.integer("readsPerSecond", 1, MAX_RATE, MAX_RATE),
                        fields.integer("writesPerSecond", 1, MAX_RATE, MAX_RATE),
                        fields.choice("writeFault", Fault.class, Fault.NONE),
                        fields.number("writeFaultShare", 0, 1, 1),
                        fields.integer("seed", 0, Integer.MAX_VALUE, 1));
        fields.finish();
        return switches;
    }

    private void apply(Switches switches) {
        platform.faults()
                .delay(Duration.ofMillis(switches.delayMillis))
                .limits(switches.readsPerSecond, switches.writesPerSecond)
                .rule(rule(switches))
                .outage(switches.outage);
    }

    private static FaultRule rule(Switches switches) {
        SplittableRandom random = new SplittableRandom(switches.seed);
        return (kind, key) -> {
            if (!kind.isWrite()) {
                return Fault.NONE;
            }
            synchronized (random) {
                return random.nextDouble() < switches.writeFaultShare
                        ? switches.writeFault
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
