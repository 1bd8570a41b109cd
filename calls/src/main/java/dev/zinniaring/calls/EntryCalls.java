package dev.zinniaring.calls;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Carries the calls of callers: matches the route, chooses a backend server, and passes the whole
 * answer on. Runs on the event loop; the configuration and the list of servers are snapshots.
 */
public final class EntryCalls implements ExchangeHandler {
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final String LEAVING_RETRY_SECONDS = "0.02";
    private static final String NO_CONFIGURATION_RETRY_SECONDS = "0.2";

    private final EntrySettings settings;
    private final HeaderNames names;
    private final Clock clock;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final OwnerCalls owner;
    private final PeerSender peers;
    private final CallCounters counters;
    private final Supplier<@Nullable Configuration> configurations;
    private final Supplier<ServerList> servers;
    private final Placement placement;
    private final RepeatBudget budget;
    private final CallLog log;
    private boolean leaving;

    private EntryCalls(Builder builder) {
        settings = builder.settings;
        names = builder.names;
        clock = builder.clock;
        loop = Objects.requireNonNull(builder.loop, "loop");
        random = builder.random;
        owner = Objects.requireNonNull(builder.owner, "owner");
        peers = Objects.requireNonNull(builder.peers, "peers");
        counters = builder.counters;
        configurations = builder.configurations;
        servers = builder.servers;
        placement = new Placement(clock, random, settings.zone(), this::unreachable);
        budget =
                new RepeatBudget(
                        clock,
                        new RepeatBudget.Settings(
                                settings.repeatRatio(),
                                settings.repeatAllowance(),
                                settings.repeatWindow()),
                        () -> servers.get().nodes());
        log = new CallLog(clock, counters);
    }

    private boolean unreachable(EndpointRecord server) {
        return peers.suspected(server.callAddress());
    }

    @Override
    public void handle(Exchange exchange) {
        counters.increment("calls");
        if (leaving) {
            refuse(exchange, "node-leaving", LEAVING_RETRY_SECONDS);
            return;
        }
        Configuration configuration = configurations.get();
        if (configuration == null) {
            refuse(exchange, "no-configuration", NO_CONFIGURATION_RETRY_SECONDS);
            return;
        }
        CallRoute route = configuration.routes().find(exchange.host(), exchange.path());
        if (route == null) {
            counters.increment("refused_no_route");
            log.decided(
                    "no-route",
                    exchange.headers().get(names.callId(), ""),
                    "",
                    "host",
                    exchange.host(),
                    "version",
                    configuration.number());
            exchange.answer(Answer.of(NOT_FOUND));
            return;
        }
        new EntryCall(this, exchange, route, configuration.number()).begin();
    }

    private void refuse(Exchange exchange, String reason, String retrySeconds) {
        counters.increment("refused_" + reason.replace('-', '_'));
        Answer refusal = Answer.of(UNAVAILABLE);
        refusal.headers().set("Retry-After", retrySeconds);
        refusal.headers().set(HopHeaders.REASON, reason);
        exchange.answer(refusal);
    }

    /** Refuses new calls from now on, since the process ends before they would. */
    public void leave() {
        leaving = true;
    }

    /** Forgets what was seen of servers that are gone; to be called now and then. */
    public void forgetGone() {
        placement.retain(servers.get()::knows);
    }

    boolean leaving() {
        return leaving;
    }

    EntrySettings settings() {
        return settings;
    }

    HeaderNames names() {
        return names;
    }

    Clock clock() {
        return clock;
    }

    EventLoop loop() {
        return loop;
    }

    RandomGenerator random() {
        return random;
    }

    OwnerCalls owner() {
        return owner;
    }

    PeerSender peers() {
        return peers;
    }

    CallCounters counters() {
        return counters;
    }

    ServerList servers() {
        return servers.get();
    }

    Placement placement() {
        return placement;
    }

    RepeatBudget budget() {
        return budget;
    }

    CallLog log() {
        return log;
    }

    /** Returns a builder; everything but the random source must be set. */
    public static Builder builder(EntrySettings settings) {
        return new Builder(settings);
    }

    /** Builds {@link EntryCalls}. */
    public static final class Builder {
        private final EntrySettings settings;
        private HeaderNames names = HeaderNames.builder().build();
        private Clock clock = Clock.system();
        private RandomGenerator random = RandomGenerator.getDefault();
        private @Nullable EventLoop loop;
        private @Nullable OwnerCalls owner;
        private @Nullable PeerSender peers;
        private CallCounters counters = new CallCounters();
        private Supplier<@Nullable Configuration> configurations = () -> null;
        private Supplier<ServerList> servers = () -> ServerList.EMPTY;

        private Builder(EntrySettings settings) {
            this.settings = settings;
        }

        /** Sets the names of headers. */
        public Builder names(HeaderNames used) {
            names = used;
            return this;
        }

        /** Sets the clock. */
        public Builder clock(Clock used) {
            clock = used;
            return this;
        }

        /** Sets the random source. */
        public Builder random(RandomGenerator used) {
            random = used;
            return this;
        }

        /** Sets the event loop on which calls run. */
        public Builder loop(EventLoop used) {
            loop = used;
            return this;
        }

        /** Sets the calls of the backend server beside the node. */
        public Builder owner(OwnerCalls used) {
            owner = used;
            return this;
        }

        /** Sets what sends calls to other nodes. */
        public Builder peers(PeerSender used) {
            peers = used;
            return this;
        }

        /** Sets the counters. */
        public Builder counters(CallCounters used) {
            counters = used;
            return this;
        }

        /** Sets where the configuration in force is found. */
        public Builder configurations(Supplier<@Nullable Configuration> used) {
            configurations = used;
            return this;
        }

        /** Sets where the list of backend servers is found. */
        public Builder servers(Supplier<ServerList> used) {
            servers = used;
            return this;
        }

        /** Returns the calls. */
        public EntryCalls build() {
            return new EntryCalls(this);
        }
    }
}
