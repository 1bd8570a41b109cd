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
 * A backend server that speaks the users' protocol and records its runs. It announces the address
 * of the proxy in front of it. Its state is confined to a single-threaded event loop.
 */
final class ObservedServer {
    /** The fault that a server simulates. */
    enum Fault {
        /** No fault. */
        NONE,
        /** Takes four times as long. */
        SLOW,
        /** Answers half of the requests, chosen at random, with 500. */
        FAILING,
        /** Accepts requests and never answers them. */
        SILENT,
        /** Names a limit of requests per second in its answers. */
        LIMITED,
        /** Refuses half of the requests, chosen at random, and sends each refusal again, late. */
        REFUSING,
        /** Breaks off half of its answers in their heads. */
        BREAKING_OFF
    }

    private static final HeaderNames NAMES = PlatformHeaders.names();
    private static final int SLOTS = 8;

    /** Number of requests accepted beyond the slots before the server rejects more. */
    private static final int MAX_QUEUED = 4;

    private static final long HEARTBEAT_MILLIS = 250;

    /** Time for which a server keeps serving after a node acknowledged that it is leaving. */
    private static final long SERVE_AFTER_LEAVE_MILLIS = 3_500;

    private static final long RESTART_DELAY_MILLIS = 1_000;

    /** Time after which a server is back that a request has ended. */
    private static final long BACK_AFTER_END_MILLIS = 4_000;

    /** Time after which the address of a server that has ended may be used again. */
    private static final long ADDRESS_REUSE_MILLIS = 2_000;

    /** Part of the path of requests that end each server that begins to run them. */
    static final String ENDING = "/ends-";

    private static final int SLOW_FACTOR = 4;
    private static final double LIMIT_PER_SECOND = 2;
    private static final long NOT_NAMED = -1;
    private static final MediaType JSON = MediaType.get("application/json");

    private final int index;
    private String service;
    private final String zone;
    private final EventLoopGroup loop;
    private final InetSocketAddress address;
    private final @Nullable Stutter stutter;
    private final Observations observations;
    private final SplittableRandom random;
    private final OkHttpClient client;
    private final Clock clock;
    private final Set<PendingRequest> inProgress = new HashSet<>();
    private @Nullable LoopbackProxy proxy;
    private String announceUrl = "";
    private Fault fault = Fault.NONE;
    private int incarnation;
    private long startedAtMillis;
    private long sequence;
    private long limitNamedMillis = NOT_NAMED;
    private boolean leaving;
    private boolean leavingAcknowledged;
    private boolean down;
    private InetSocketAddress node = InetSocketAddress.createUnresolved("", 0);
    private boolean addressHeld;
    private int runs;

    /**
     * Creates a server that listens on a free port.
     *
     * @param stutter draws its work and its answers; if null, it works by the route and answers
     *     plainly
     */
    ObservedServer(
            int index,
            String zone,
            EventLoopGroup loop,
            OkHttpClient client,
            Clock clock,
            Observations observations,
            SplittableRandom random,
            @Nullable Stutter stutter)
            throws KernelException {
        this.index = index;
        this.service = Operator.SERVICES.get(index % Operator.SERVICES.size());
        this.zone = zone;
        this.loop = loop;
        this.client = client;
        this.clock = clock;
        this.observations = observations;
        this.random = random;
        this.stutter = stutter;
        if (stutter == null) {
            HttpListener listener =
                    new HttpListener(loop, clock, () -> ClientLimits.DEFAULT, this::handle);
            listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            address = listener.address();
        } else {
            address =
                    StutteringListener.start(loop, clock, stutter, observations, this::handle)
                            .address();
        }
    }

    String service() {
        return service;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Starts announcing itself to a node; requests arrive through a proxy. */
    void announce(
            LoopbackProxy frontProxy, InetSocketAddress announcements, InetSocketAddress calls) {
        announceUrl = "http://%s".formatted(Addresses.text(announcements));
        loop.execute(
                () -> {
                    proxy = frontProxy;
                    node = calls;
                    begin();
                });
        loop.scheduleAtFixedRate(
                this::heartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sets the fault to simulate; {@link Fault#NONE} ends stuck requests without a response. */
    void fault(Fault next) {
        loop.execute(
                () -> {
                    endLimit();
                    fault = next;
                    if (!down) {
                        mode(proxyMode());
                    }
                    if (next == Fault.NONE) {
                        Set.copyOf(inProgress).stream()
                                .filter(request -> request.stuck)
                                .forEach(PendingRequest::end);
                    }
                });
    }

    private LoopbackProxy.Mode proxyMode() {
        return switch (fault) {
            case REFUSING -> LoopbackProxy.Mode.REFUSALS_REPEATED;
            case BREAKING_OFF -> LoopbackProxy.Mode.HEADS_BROKEN;
            default -> LoopbackProxy.Mode.PASS;
        };
    }

    /** Simulates a crash of the server process. */
    void crash() {
        loop.execute(this::shutDown);
    }

    /** Restarts the server if it is down. */
    void restart() {
        loop.execute(
                () -> {
                    if (down && !addressHeld) {
                        begin();
                    }
                });
    }

    /** Ends; a server of another service takes over the address later. */
    void handOver(String nextService) {
        loop.execute(
                () -> {
                    shutDown();
                    addressHeld = true;
                    loop.schedule(
                            () -> takeAddress(nextService),
                            ADDRESS_REUSE_MILLIS,
                            TimeUnit.MILLISECONDS);
                });
    }

    private void takeAddress(String nextService) {
        addressHeld = false;
        service = nextService;
        restart();
    }

    /** Leaves as before planned maintenance, and returns later under a new id. */
    void leave() {
        loop.execute(
                () -> {
                    leaving = true;
                    heartbeat();
                });
    }

    private void begin() {
        incarnation++;
        startedAtMillis = clock.now().toEpochMilli();
        sequence = 0;
        leaving = false;
        leavingAcknowledged = false;
        down = false;
        mode(proxyMode());
    }

    /** Ends the period in which this incarnation has named a limit, if it has. */
    private void endLimit() {
        if (limitNamedMillis != NOT_NAMED) {
            observations.add(
                    new Observations.Limit(
                            id(), LIMIT_PER_SECOND, limitNamedMillis, observations.nowMillis()));
            limitNamedMillis = NOT_NAMED;
        }
    }

    private void addNotice(Answer answer) {
        if (leaving) {
            answer.headers().set(NAMES.serverLeaving(), "1");
        }
        if (fault == Fault.LIMITED) {
            answer.headers().set(NAMES.serverLimit(), String.valueOf(LIMIT_PER_SECOND));
            limitNamedMillis =
                    limitNamedMillis == NOT_NAMED ? observations.nowMillis() : limitNamedMillis;
        }
    }

    private void shutDown() {
        endLimit();
        down = true;
        Set.copyOf(inProgress).forEach(PendingRequest::end);
        mode(LoopbackProxy.Mode.RESET);
    }

    private void mode(LoopbackProxy.Mode mode) {
        LoopbackProxy current = proxy;
        if (current != null) {
            current.mode(mode);
        }
    }

    private String id() {
        return "i-" + index + "-" + incarnation;
    }

    private void heartbeat() {
        LoopbackProxy current = proxy;
        if (down || current == null) {
            return;
        }
        sequence++;
        Announcement announcement =
                new Announcement(
                        id(),
                        startedAtMillis,
                        sequence,
                        service,
                        current.address(),
                        SLOTS,
                        leaving,
                        0);
        String id = id();
        boolean announcedLeaving = leaving;
        post(
                BackendServerProtocol.heartbeatPath(id),
                BackendServerProtocol.heartbeat(announcement, zone),
                () -> acknowledged(id, announcedLeaving));
    }

    private void post(String path, byte[] body, Runnable acknowledged) {
        Request request =
                new Request.Builder()
                        .url(announceUrl + path)
                        .post(RequestBody.create(body, JSON))
                        .build();
        client.newCall(request)
                .enqueue(
                        new StatusCallback(
                                status -> {
                                    if (status == 200) {
                                        loop.execute(acknowledged);
                                    }
                                }));
    }

    private void acknowledged(String id, boolean announcedLeaving) {
        if (!announcedLeaving || leavingAcknowledged || !id.equals(id())) {
            return;
        }
        leavingAcknowledged = true;
        observations.add(new Observations.LeaveAck(id, observations.nowMillis()));
        loop.schedule(() -> end(id), SERVE_AFTER_LEAVE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void end(String id) {
        if (down || !id.equals(id())) {
            return;
        }
        post(
                BackendServerProtocol.deregistrationPath(id),
                BackendServerProtocol.deregistration(startedAtMillis),
                () -> {});
        shutDown();
        loop.schedule(this::restart, RESTART_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void handle(Exchange exchange) {
        if (exchange.path().equals("/health")) {
            Answer answer = Answer.of(leaving ? 503 : 200);
            answer.headers().set(NAMES.serverId(), id());
            addNotice(answer);
            exchange.answer(answer);
            return;
        }
        String expected = exchange.headers().get(NAMES.expectedServer(), id());
        if (!expected.equals(id())) {
            exchange.answer(notExecuted(421));
        } else if (inProgress.size() >= SLOTS + MAX_QUEUED
                || (fault == Fault.REFUSING && random.nextBoolean())) {
            exchange.answer(notExecuted(503));
        } else if (exchange.path().contains(ENDING)) {
            observations.add(new Observations.End(exchange.path(), id(), observations.nowMillis()));
            shutDown();
            loop.schedule(this::restart, BACK_AFTER_END_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            new PendingRequest(exchange).begin();
        }
    }

    private Answer notExecuted(int status) {
        Answer answer = Answer.of(status);
        answer.headers().set(NAMES.notExecuted(), "1");
        addNotice(answer);
        return answer;
    }

    /** A request in progress. */
    private final class PendingRequest {
        private final Exchange exchange;
        private final Observations.Run run;
        private final boolean fails;
        private final boolean stuck;
        private @Nullable TaggedWork work;

        PendingRequest(Exchange exchange) {
            this.exchange = exchange;
            this.run =
                    new Observations.Run(
                            stutter == null
                                    ? exchange.headers().get(NAMES.callId(), "")
                                    : RunTag.send(exchange.headers()),
                            id(),
                            service,
                            observations.nowMillis());
            this.fails = fault == Fault.FAILING && random.nextBoolean();
            this.stuck = fault == Fault.SILENT;
        }

        void begin() {
            inProgress.add(this);
            observations.add(run);
            if (!exchange.headers().contains(NAMES.deadlineMillis())) {
                observations.finding("DEADLINE: " + run.callId() + " arrived without a deadline");
            }
            exchange.onCancel(this::end);
            Stutter drawn = stutter;
            if (drawn != null && !stuck) {
                begin(drawn);
            } else if (!stuck) {
                Route route = Route.of(exchange.path());
                int millis = random.nextInt(route.minServiceMillis(), route.maxServiceMillis() + 1);
                loop.schedule(
                        () -> answer(),
                        (long) millis * (fault == Fault.SLOW ? SLOW_FACTOR : 1),
                        TimeUnit.MILLISECONDS);
            }
        }

        private void begin(Stutter drawn) {
            runs++;
            TaggedWork begun =
                    new TaggedWork(
                            drawn,
                            loop,
                            observations,
                            new TaggedWork.Origin(index, node, id() + "-" + runs),
                            exchange.headers(),
                            this::answer);
            work = begun;
            begun.begin(fault == Fault.SLOW ? SLOW_FACTOR : 1, fails);
        }

        private void answer(Answer answer) {
            end();
            answer.headers().set(NAMES.serverId(), run.serverId());
            addNotice(answer);
            exchange.answer(answer);
        }

        private void answer() {
            if (!inProgress.contains(this)) {
                return;
            }
            Answer answer =
                    Answer.bytes(fails ? 500 : 200, run.callId().getBytes(StandardCharsets.UTF_8));
            answer.headers().set(NAMES.callId(), run.callId());
            answer(answer);
        }

        /**
         * Ends the request and records the end of its run. If it was not answered before a crash,
         * the proxy in front of the server resets its connection.
         */
        private void end() {
            TaggedWork begun = work;
            if (begun != null) {
                begun.cancel();
            }
            if (inProgress.remove(this)) {
                run.end(observations.nowMillis());
            }
        }
    }
}
