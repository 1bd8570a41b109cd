package dev.zinniaring.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.kernel.Plugin;
import dev.zinniaring.kernel.Problem;
import dev.zinniaring.kernel.Scheduler;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Serves the HTTP API at which local backend servers announce themselves. */
final class AnnouncementsPlugin implements Plugin {
    private static final Duration EXPIRE_PERIOD = Duration.ofMillis(250);
    private static final int BAD_REQUEST = 400;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final String ID_ACCEPTED = "1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-'";
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final LocalServers servers;
    private final Scheduler scheduler;
    private final WebServer web;
    private volatile boolean draining;
    private Scheduler.@Nullable Cancellable timer;

    AnnouncementsPlugin(InetSocketAddress address, LocalServers servers, Scheduler scheduler) {
        this.servers = servers;
        this.scheduler = scheduler;
        this.web = new WebServer("announcements", address, this::routes);
    }

    private void routes(RoutesConfig routes) {
        routes.put("/servers/{id}", this::announce);
        routes.delete("/servers/{id}", this::withdraw);
    }

    private void announce(Context ctx) {
        if (draining) {
            ctx.status(UNAVAILABLE).result("the node is draining\n");
            return;
        }
        List<Problem> problems = new ArrayList<>();
        String serverId = ctx.pathParam("id");
        if (!serverId.matches("[A-Za-z0-9._-]{1,64}")) {
            problems.add(new Problem("id", serverId, ID_ACCEPTED));
        }
        Announcement announcement = AnnouncementReader.read(ctx.body(), problems);
        if (problems.isEmpty()) {
            servers.announce(serverId, announcement);
            ctx.status(NO_CONTENT);
        } else {
            ctx.status(BAD_REQUEST).contentType("application/json").result(json(problems));
        }
    }

    private static String json(List<Problem> problems) {
        try {
            return MAPPER.writeValueAsString(Map.of("problems", problems));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not serialize the list of problems", e);
        }
    }

    private void withdraw(Context ctx) {
        ctx.status(servers.withdraw(ctx.pathParam("id")) ? NO_CONTENT : NOT_FOUND);
    }

    InetSocketAddress address() {
        return web.address();
    }

    @Override
    public String name() {
        return "announcements";
    }

    @Override
    public int order() {
        return 60;
    }

    @Override
    public void start() throws KernelException {
        web.start();
        timer = scheduler.every(EXPIRE_PERIOD, servers::expire);
    }

    @Override
    public void drain(Duration limit) {
        draining = true;
        servers.withdrawAll();
    }

    @Override
    public void stop() {
        if (timer != null) {
            timer.cancel();
        }
        web.stop();
    }

    @Override
    public Object state() {
        Map<String, Object> state = new LinkedHashMap<>();
        for (LocalServer server : servers.all()) {
            state.put(
                    server.serverId(),
                    new ServerState(
                            server.announced().service(),
                            server.target(),
                            server.announced().state().name(),
                            server.announced().load(),
                            server.admission().state()));
        }
        return state;
    }

    private record ServerState(
            String service, String address, String state, int load, Object admission) {}
}
