package dev.zinniaring.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.zinniaring.distribution.VersionDistribution;
import dev.zinniaring.distribution.VersionStatus;
import dev.zinniaring.kernel.Kernel;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.membership.MemberView;
import dev.zinniaring.membership.Membership;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Serves metrics, state, status and health to operators over HTTP. */
final class AdminPlugin implements Plugin {
    private static final int UNAVAILABLE = 503;
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
                    .findAndAddModules()
                    .build();

    private final NodeSettings settings;
    private final VersionDistribution versions;
    private final Membership membership;
    private final AdminDirectory directory;
    private final PrometheusRegistry registry;
    private final WebServer web;
    private @Nullable Kernel kernel;

    AdminPlugin(
            NodeSettings settings,
            VersionDistribution versions,
            Membership membership,
            AdminDirectory directory,
            PrometheusRegistry registry) {
        this.settings = settings;
        this.versions = versions;
        this.membership = membership;
        this.directory = directory;
        this.registry = registry;
        this.web = new WebServer("admin", settings.adminAddress(), this::routes);
    }

    /** Sets the kernel whose state {@code /state} returns. */
    void attach(Kernel running) {
        kernel = running;
    }

    InetSocketAddress address() {
        return web.address();
    }

    private void routes(RoutesConfig routes) {
        routes.get("/metrics", this::metrics);
        routes.get("/state", ctx -> json(ctx, state(kernel)));
        routes.get("/status", ctx -> json(ctx, status()));
        routes.get("/health", this::health);
    }

    private static Map<String, Object> state(@Nullable Kernel running) {
        return running == null ? Map.of() : running.state();
    }

    private void metrics(Context ctx) throws IOException {
        PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.write(out, registry.scrape());
        ctx.contentType(writer.getContentType()).result(out.toByteArray());
    }

    private void health(Context ctx) {
        boolean ready = versions.active().isPresent();
        ctx.status(ready ? 200 : UNAVAILABLE).result(ready ? "ready\n" : "not ready\n");
    }

    private static void json(Context ctx, Object value) throws JsonProcessingException {
        ctx.contentType("application/json").result(MAPPER.writeValueAsString(value) + "\n");
    }

    private Status status() {
        VersionStatus now = versions.state();
        MemberView view = membership.view();
        SortedMap<String, Integer> zones = new TreeMap<>();
        for (String zone : view.zones()) {
            zones.put(zone, view.liveIn(zone).size());
        }
        return new Status(
                settings.nodeId(),
                settings.zone(),
                now.number(),
                now.hash(),
                now.number() > 0,
                awaitedVersion(now),
                now.waitingFor(),
                now.refusedVersion(),
                view.liveMembers().size(),
                zones,
                directory.addresses());
    }

    /** Returns the version that the node waits for, or 0 if it knows of none. */
    private static long awaitedVersion(VersionStatus now) {
        long next = Math.max(now.heldNumber(), now.floor());
        return next > now.number() ? next : 0;
    }

    /**
     * The response body of {@code /status}.
     *
     * @param waitingFor number of the version that the node waits for, 0 if none
     * @param waitingReason why the node has no version yet; empty if it has one
     * @param members number of live members
     * @param zones live members by availability zone
     * @param adminAddresses admin addresses of live members by node id
     */
    private record Status(
            String node,
            String zone,
            long version,
            String hash,
            boolean ready,
            long waitingFor,
            String waitingReason,
            long refusedVersion,
            int members,
            SortedMap<String, Integer> zones,
            SortedMap<String, String> adminAddresses) {}

    @Override
    public String name() {
        return "admin";
    }

    @Override
    public int order() {
        return 70;
    }

    @Override
    public void start() throws KernelException {
        web.start();
        directory.setOwnAddress(HopRequests.text(address()));
    }

    @Override
    public void stop() {
        web.stop();
    }

    @Override
    public Object state() {
        return new State(
                HopRequests.text(address()),
                Build.version(),
                System.getProperty("java.version", ""),
                settings.limits());
    }

    private record State(String address, String build, String java, Limits limits) {}
}
