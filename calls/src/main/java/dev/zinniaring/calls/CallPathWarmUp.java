package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.model.BalancePolicy;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.Pool;
import dev.zinniaring.model.Rank;
import dev.zinniaring.model.Route;
import dev.zinniaring.model.Tables;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Sends calls through a private copy of the call path on loopback, so that its code is loaded and
 * compiled before a node takes calls. The first calls of a process take several times the processor
 * time of later ones; a restarted node on a small VM would fall behind its callers.
 *
 * <p>If clients call nevertheless, since too few other nodes are there to take their calls, the
 * warm-up ends, as it would only delay them.
 *
 * <pre>{@code
 * new CallPathWarmUp(group, names, clock).run(() -> callers.isEmpty(), result -> ready = true);
 * }</pre>
 */
public final class CallPathWarmUp {
    /** Calls after which most methods of the call path are compiled. */
    static final int CALLS = 300;

    /** Time after which the warm-up ends in any case; a slow VM is better used half warm. */
    private static final Duration LIMIT = Duration.ofMillis(1_500);

    private static final int OK = 200;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int SLOTS = 16;
    private static final int REQUEST_BYTES = 300;
    private static final int ANSWER_BYTES = 1_500;
    private static final String HOST = "warm-up";
    private static final String ZONE = "z";

    /** Service whose backend server is at the entry node itself. */
    private static final String LOCAL_SERVICE = "local";

    /** Service whose backend server is at another node. */
    private static final String PEER_SERVICE = "peer";

    private final EventLoopGroup group;
    private final HeaderNames names;
    private final Clock clock;
    private final PooledHttpClient client;
    private final CallCounters counters = new CallCounters();
    private final byte[] answerBody = new byte[ANSWER_BYTES];
    private final byte[] requestBody = new byte[REQUEST_BYTES];

    /**
     * How a warm-up ended.
     *
     * @param answered number of calls that were answered
     * @param reason reason code: {@code done}, {@code time-over}, {@code not-wanted} or that of a
     *     failure
     */
    public record Result(int answered, String reason) {}

    /**
     * Creates a warm-up.
     *
     * @param group event loop group with a single thread, which the warm-up occupies until it ends
     */
    public CallPathWarmUp(EventLoopGroup group, HeaderNames names, Clock clock) {
        this.group = group;
        this.names = names;
        this.clock = clock;
        this.client = new PooledHttpClient(group, clock);
    }

    /**
     * Sends the calls one after the other.
     *
     * @param wanted whether the warm-up still serves a purpose; asked before each call
     * @param onEnd receives the result once, on the event loop, when the calls are done, fail or
     *     take too long
     * @throws KernelException if no port can be opened on the loopback interface
     */
    public void run(BooleanSupplier wanted, Consumer<Result> onEnd) throws KernelException {
        HttpListener server = listen(this::serve);
        HttpListener peer = listen(new PeerCalls(owner("i2", server), names));
        HttpListener entry = listen(entry(owner("i1", server), peer.address()));
        Sequence sequence =
                new Sequence(
                        entry.address(),
                        wanted,
                        result -> {
                            List.of(server, peer, entry).forEach(HttpListener::stop);
                            onEnd.accept(result);
                        });
        group.execute(sequence::sendNext);
    }

    private HttpListener listen(ExchangeHandler handler) throws KernelException {
        HttpListener listener = new HttpListener(group, clock, () -> ClientLimits.DEFAULT, handler);
        listener.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return listener;
    }

    private void serve(Exchange exchange) {
        Answer answer = Answer.bytes(OK, answerBody);
        answer.headers().set(names.callId(), exchange.headers().get(names.callId(), ""));
        answer.headers().set(names.load(), "1,0," + SLOTS);
        answer.headers().set("Content-Type", "text/plain");
        answer.headers().set("Keep-Alive", "timeout=10");
        exchange.answer(answer);
    }

    private OwnerCalls owner(String serverId, HttpListener server) {
        LocalServer local =
                new LocalServer(
                        serverId,
                        server.address(),
                        SLOTS,
                        new ServerSettings("/health", SLOTS),
                        false);
        return new OwnerCalls(client, names, clock, counters, () -> local);
    }

    private EntryCalls entry(OwnerCalls owner, InetSocketAddress peer) {
        // Nothing listens at the entry node's own address for peers; its calls stay in the process.
        String ownAddress = "127.0.0.1:1";
        ServerList servers =
                new ServerList(
                        List.of(
                                record("i1", LOCAL_SERVICE, ownAddress),
                                record("i2", PEER_SERVICE, Addresses.text(peer))));
        Configuration configuration = configuration();
        return EntryCalls.builder(
                        new EntrySettings(
                                ZONE, LOCAL_SERVICE, ownAddress, 0, 0, Duration.ofSeconds(1)))
                .names(names)
                .clock(clock)
                .loop(group.next())
                .random(new SplittableRandom(1))
                .owner(owner)
                .peers(new PeerSender(client, names, clock, counters))
                .counters(counters)
                .configurations(() -> configuration)
                .servers(() -> servers)
                .build();
    }

    private static EndpointRecord record(String serverId, String service, String address) {
        return new EndpointRecord(
                serverId,
                service,
                "node-" + service,
                ZONE,
                address,
                1,
                1,
                SLOTS,
                SLOTS,
                EndpointState.READY,
                0);
    }

    private static Configuration configuration() {
        List<String> services = List.of(LOCAL_SERVICE, PEER_SERVICE);
        List<Route> routes =
                services.stream()
                        .map(
                                service ->
                                        new Route(
                                                service,
                                                HOST,
                                                "/" + service + "/",
                                                new TreeSet<>(),
                                                "k",
                                                true,
                                                TIMEOUT_MILLIS,
                                                1,
                                                service))
                        .toList();
        List<Pool> pools =
                services.stream()
                        .map(
                                service ->
                                        new Pool(
                                                service,
                                                service,
                                                BalancePolicy.LEAST_LOADED,
                                                SLOTS,
                                                SLOTS,
                                                0))
                        .toList();
        Tables tables = Tables.of(List.of(new Rank("k", 0, 1, 0)), routes, pools);
        return new Configuration(1, tables, Map.of(), ClientLimits.DEFAULT);
    }

    /** The calls, each sent when the one before has been answered. */
    private final class Sequence implements ResponseListener {
        private final InetSocketAddress entry;
        private final BooleanSupplier wanted;
        private final Consumer<Result> onEnd;
        private final long startNanos = clock.nanos();
        private int sent;
        private int answered;

        Sequence(InetSocketAddress entry, BooleanSupplier wanted, Consumer<Result> onEnd) {
            this.entry = entry;
            this.wanted = wanted;
            this.onEnd = onEnd;
        }

        void sendNext() {
            if (sent >= CALLS) {
                end("done");
                return;
            }
            if (clock.since(startNanos).compareTo(LIMIT) > 0) {
                end("time-over");
                return;
            }
            if (!wanted.getAsBoolean()) {
                end("not-wanted");
                return;
            }
            boolean post = sent % 4 < 2;
            String service = sent % 2 == 0 ? LOCAL_SERVICE : PEER_SERVICE;
            sent++;
            DefaultHttpHeaders headers = new DefaultHttpHeaders();
            headers.set("Host", HOST);
            headers.set("Accept", "*/*");
            headers.set(names.callId(), "warm-up-" + sent);
            headers.set(names.deadlineMillis(), TIMEOUT_MILLIS);
            client.send(
                    entry,
                    new OutboundRequest(
                            post ? "POST" : "GET",
                            "/" + service + "/x?sent=" + sent,
                            headers,
                            post ? requestBody : new byte[0],
                            TIMEOUT_MILLIS,
                            TIMEOUT_MILLIS,
                            TIMEOUT_MILLIS,
                            names.callId()),
                    this);
        }

        @Override
        public void onResponse(Answer answer) {
            if (answer.status() == OK) {
                answered++;
                sendNext();
            } else {
                end("status-" + answer.status());
            }
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            end(reason);
        }

        private void end(String reason) {
            onEnd.accept(new Result(answered, reason));
        }
    }
}
