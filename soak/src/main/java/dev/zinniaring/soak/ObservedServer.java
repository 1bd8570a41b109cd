package dev.zinniaring.soak;

import dev.zinniaring.calls.Addresses;
import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.ClientLimits;
import dev.zinniaring.calls.Exchange;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.calls.HttpListener;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.platform.BackendServerProtocol;
import dev.zinniaring.platform.PlatformHeaders;
import dev.zinniaring.sidecar.Announcement;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.jspecify.annotations.Nullable;

/**
 * A backend server by the users' protocol, which records what it runs. It announces the address of
 * a proxy before it. Everything runs on an event loop of one thread.
 */
final class ObservedServer {
    /** What a server does wrong. */
    enum Fault {
        NONE,
        /** It takes four times as long. */
        SLOW,
        /** Every second request fails. */
        FAILING,
        /** It takes requests and does not answer. */
        SILENT
    }

    private static final HeaderNames NAMES = PlatformHeaders.names();
    private static final int SLOTS = 8;

    /** Requests beyond the slots that are taken before the server is full. */
    private static final int QUEUE = 4;

    private static final long HEARTBEAT_MILLIS = 250;

    /** A server goes on serving for this long after its leaving was acknowledged. */
    private static final long SERVES_AFTER_LEAVING_MILLIS = 3_500;

    private static final long RESTART_MILLIS = 1_000;
    private static final int SLOW_FACTOR = 4;
    private static final MediaType JSON = MediaType.get("application/json");

    private final int index;
    private final String service;
    private final String zone;
    private final EventLoopGroup loop;
    private final HttpListener listener;
    private final Observations observations;
    private final SplittableRandom random;
    private final OkHttpClient client;
    private final Clock clock;
    private final Set<Work> working = new HashSet<>();
    private @Nullable LoopbackProxy proxy;
    private String announceUrl = "";
    private Fault fault = Fault.NONE;
    private int incarnation;
    private long bornMillis;
    private long sequence;
    private boolean leaving;
    private boolean leavingAcknowledged;
    private boolean down;

    ObservedServer(
            int index,
            String zone,
            EventLoopGroup loop,
            OkHttpClient client,
            Clock clock,
            Observations observations,
            SplittableRandom random)
            throws KernelException {
        this.index = index;
        this.service = Operator.SERVICES.get(index % Operator.SERVICES.size());
        this.zone = zone;
        this.loop = loop;
        this.client = client;
        this.clock = clock;
        this.observations = observations;
        this.random = random;
        this.listener = new HttpListener(loop, clock, () -> ClientLimits.DEFAULT, this::handle);
        listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    String service() {
        return service;
    }

    InetSocketAddress address() {
        return listener.address();
    }

    /** Begins to announce itself to a node; requests come through a proxy. */
    void announce(LoopbackProxy before, InetSocketAddress announcements) {
        announceUrl = "http://%s".formatted(Addresses.text(announcements));
        loop.execute(
                () -> {
                    proxy = before;
                    begin();
                });
        loop.scheduleAtFixedRate(
                this::heartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sets what the server does wrong. */
    void fault(Fault next) {
        loop.execute(
                () -> {
                    fault = next;
                    if (next == Fault.NONE) {
                        Set.copyOf(working).stream().filter(work -> work.stuck).forEach(Work::end);
                    }
                });
    }

    /** Ends the process of the server at once. */
    void crash() {
        loop.execute(this::goDown);
    }

    /** Starts the server again after a crash. */
    void restart() {
        loop.execute(
                () -> {
                    if (down) {
                        begin();
                    }
                });
    }

    /** Leaves as before planned work, and comes back as a new server. */
    void leave() {
        loop.execute(
                () -> {
                    leaving = true;
                    heartbeat();
                });
    }

    private void begin() {
        incarnation++;
        bornMillis = clock.now().toEpochMilli();
        sequence = 0;
        leaving = false;
        leavingAcknowledged = false;
        down = false;
        mode(LoopbackProxy.Mode.PASS);
    }

    private void goDown() {
        down = true;
        Set.copyOf(working).forEach(Work::end);
        mode(LoopbackProxy.Mode.RESET);
    }

    private void mode(LoopbackProxy.Mode mode) {
        LoopbackProxy before = proxy;
        if (before != null) {
            before.mode(mode);
        }
    }

    private String id() {
        return "i-" + index + "-" + incarnation;
    }

    private void heartbeat() {
        LoopbackProxy before = proxy;
        if (down || before == null) {
            return;
        }
        sequence++;
        Announcement announcement =
                new Announcement(
                        id(), bornMillis, sequence, service, before.address(), SLOTS, leaving, 0);
        String id = id();
        boolean says = leaving;
        post(
                BackendServerProtocol.heartbeatPath(id),
                BackendServerProtocol.heartbeat(announcement, zone),
                () -> acknowledged(id, says));
    }

    private void post(String path, byte[] body, Runnable acknowledged) {
        Request request =
                new Request.Builder()
                        .url(announceUrl + path)
                        .post(RequestBody.create(body, JSON))
                        .build();
        client.newCall(request)
                .enqueue(
                        new Reply(
                                status -> {
                                    if (status == 200) {
                                        loop.execute(acknowledged);
                                    }
                                }));
    }

    private void acknowledged(String id, boolean saidLeaving) {
        if (!saidLeaving || leavingAcknowledged || !id.equals(id())) {
            return;
        }
        leavingAcknowledged = true;
        observations.add(new Observations.Leaving(id, observations.nowMillis()));
        loop.schedule(() -> end(id), SERVES_AFTER_LEAVING_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void end(String id) {
        if (down || !id.equals(id())) {
            return;
        }
        post(
                BackendServerProtocol.withdrawalPath(id),
                BackendServerProtocol.withdrawal(bornMillis),
                () -> {});
        goDown();
        loop.schedule(this::restart, RESTART_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void handle(Exchange exchange) {
        if (exchange.path().equals("/health")) {
            Answer answer = Answer.of(leaving ? 503 : 200);
            answer.headers().set(NAMES.serverId(), id());
            exchange.answer(answer);
            return;
        }
        String expected = exchange.headers().get(NAMES.expectedServer(), id());
        if (!expected.equals(id())) {
            exchange.answer(notExecuted(421));
        } else if (working.size() >= SLOTS + QUEUE) {
            exchange.answer(notExecuted(503));
        } else {
            new Work(exchange).begin();
        }
    }

    private static Answer notExecuted(int status) {
        Answer answer = Answer.of(status);
        answer.headers().set(NAMES.notExecuted(), "1");
        return answer;
    }

    /** One request that the server works on. */
    private final class Work {
        private final Exchange exchange;
        private final Observations.Run run;
        private final boolean fails;
        private final boolean stuck;

        Work(Exchange exchange) {
            this.exchange = exchange;
            this.run =
                    new Observations.Run(
                            exchange.headers().get(NAMES.callId(), ""),
                            id(),
                            service,
                            observations.nowMillis());
            this.fails = fault == Fault.FAILING && random.nextBoolean();
            this.stuck = fault == Fault.SILENT;
        }

        void begin() {
            working.add(this);
            observations.add(run);
            if (!exchange.headers().contains(NAMES.deadlineMillis())) {
                observations.finding("DEADLINE: " + run.callId() + " came without a deadline");
            }
            exchange.onCancel(this::end);
            if (!stuck) {
                Route route = Route.of(exchange.path());
                int millis = random.nextInt(route.leastWorkMillis(), route.mostWorkMillis() + 1);
                loop.schedule(
                        this::answer,
                        (long) millis * (fault == Fault.SLOW ? SLOW_FACTOR : 1),
                        TimeUnit.MILLISECONDS);
            }
        }

        private void answer() {
            if (!working.contains(this)) {
                return;
            }
            end();
            Answer answer =
                    Answer.bytes(fails ? 500 : 200, run.callId().getBytes(StandardCharsets.UTF_8));
            answer.headers().set(NAMES.callId(), run.callId());
            answer.headers().set(NAMES.serverId(), run.serverId());
            exchange.answer(answer);
        }

        /** Ends the work; without an answer, the proxy before the server resets the connection. */
        private void end() {
            if (working.remove(this)) {
                run.end(observations.nowMillis());
            }
        }
    }
}
