package dev.zinniaring.calls;

import dev.zinniaring.accounts.KeyFreshness;
import dev.zinniaring.accounts.QuotaShares;
import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.rollout.VersionShares;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Handles the calls of local callers: matches the route, selects a backend server and returns its
 * complete answer. Must be used on the event loop; the configuration and the server list are
 * immutable snapshots.
 */
public final class EntryCalls implements ExchangeHandler {
    private static final int NOT_FOUND = 404;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final double NANOS_PER_MILLI = 1e6;
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
    private final LoadBalancer balancer;
    private final RetryBudgetShare budget;
    private final CallLog log;
    private final StopAdmission stop;
    private final AccountGate accounts;
    private final VersionShares versionShares;
    private final VersionFilter versions;
    private long clientsSwitchedNanos;
    private boolean leaving;

    /** Written on the event loop only. */
    private volatile int received;

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
        balancer = new LoadBalancer(clock, random, settings.zone(), this::unreachable);
        budget =
                new RetryBudgetShare(
                        clock,
                        new RetryBudgetShare.Settings(
                                settings.retryRatio(),
                                settings.retryAllowance(),
                                settings.retryWindow()),
                        () -> servers.get().nodes());
        log = new CallLog(clock, counters);
        stop = new StopAdmission(clock);
        accounts =
                new AccountGate(
                        names,
                        builder.keyFreshness == null
                                ? new KeyFreshness(clock)
                                : builder.keyFreshness,
                        builder.revocationBound,
                        builder.quotas == null
                                ? new QuotaShares(clock, random, () -> servers.get().nodes())
                                : builder.quotas);
        versionShares =
                builder.versionShares == null
                        ? new VersionShares(clock, random, false)
                        : builder.versionShares;
        versions = new VersionFilter(versionShares);
    }

    private boolean unreachable(EndpointRecord server) {
        return peers.suspected(server.callAddress());
    }

    @Override
    public void handle(Exchange exchange) {
        counters.increment("calls");
        received = received + 1;
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
            log.logDecision(
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
        AccountGate.Verdict verdict =
                accounts.check(configuration.accounts(), route, exchange.headers());
        AccountGate.Refusal refusal = verdict.refusal();
        if (refusal != null) {
            refuse(exchange, refusal);
            return;
        }
        new EntryCall(this, exchange, route, verdict.account(), configuration.number()).start();
    }

    @Override
    public boolean queued(Exchange exchange) {
        return true;
    }

    /** The kind of the route decides; a request without a route is refused and does not run. */
    @Override
    public boolean repeatable(Exchange exchange) {
        Configuration configuration = configurations.get();
        CallRoute route =
                configuration == null
                        ? null
                        : configuration.routes().find(exchange.host(), exchange.path());
        return route == null
                ? ExchangeHandler.super.repeatable(exchange)
                : route.route().idempotent();
    }

    private void refuse(Exchange exchange, String reason, String retrySeconds) {
        refuse(exchange, new AccountGate.Refusal(SERVICE_UNAVAILABLE, reason, retrySeconds));
    }

    private void refuse(Exchange exchange, AccountGate.Refusal refused) {
        String reason = refused.reason();
        counters.increment("refused_" + reason.replace('-', '_'));
        log.logDecision(
                "refused", exchange.headers().get(names.callId(), ""), "", "reason", reason);
        Answer refusal = Answer.of(refused.status());
        String retrySeconds = refused.retrySeconds();
        if (retrySeconds != null) {
            refusal.headers().set("Retry-After", retrySeconds);
        }
        refusal.headers().set(HopHeaders.REASON, reason);
        exchange.answer(refusal);
    }

    /**
     * Starts the shutdown: from now on, calls that may outlast the process are refused.
     *
     * @param endNanos clock reading at which the process ends
     * @param switchedNanos clock reading at which clients have switched to other nodes
     */
    public void stopAt(long endNanos, long switchedNanos) {
        stop.stopAt(endNanos);
        clientsSwitchedNanos = switchedNanos;
    }

    /** Refuses all further calls, once clients have had time to switch to other nodes. */
    public void startShutdown() {
        leaving = true;
    }

    /** Returns the number of calls that clients have sent so far. May be called on any thread. */
    public int received() {
        return received;
    }

    /** Drops the statistics of servers that no longer exist; to be called periodically. */
    public void pruneServerStats() {
        balancer.retain(servers.get()::contains);
    }

    boolean leaving() {
        return leaving || stop.stopping();
    }

    /** Returns the decisions about calls during the shutdown. */
    StopAdmission stop() {
        return stop;
    }

    /**
     * Returns the value of the {@code Retry-After} header of a refusal.
     *
     * @param candidates servers that the call may use
     * @param targetNanos clock reading of the call's latency target
     * @param deadlineNanos clock reading of its deadline
     */
    String retrySeconds(
            CallRoute route,
            List<EndpointRecord> candidates,
            long targetNanos,
            long deadlineNanos,
            String reason) {
        long nowNanos = clock.nanos();
        double leftMillis = (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
        if (stop.stopping() && reason.equals(StopAdmission.REASON)) {
            double untilSwitchedMillis = (clientsSwitchedNanos - nowNanos) / NANOS_PER_MILLI;
            return RetryAfter.secondsAfter(untilSwitchedMillis, leftMillis, random);
        }
        return RetryAfter.seconds(
                (targetNanos - nowNanos) / NANOS_PER_MILLI,
                leftMillis,
                balancer.meanNanos(route) / NANOS_PER_MILLI,
                balancer.backOffNanos(candidates, route) / NANOS_PER_MILLI,
                random);
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

    CrashGuard guard() {
        return owner.guard();
    }

    CallCounters counters() {
        return counters;
    }

    ServerList servers() {
        return servers.get();
    }

    LoadBalancer balancer() {
        return balancer;
    }

    AccountGate accounts() {
        return accounts;
    }

    VersionFilter versions() {
        return versions;
    }

    VersionShares versionShares() {
        return versionShares;
    }

    RetryBudgetShare budget() {
        return budget;
    }

    CallLog log() {
        return log;
    }

    /** Returns a builder; {@code loop}, {@code owner} and {@code peers} are required. */
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
        private @Nullable KeyFreshness keyFreshness;
        private @Nullable Duration revocationBound;
        private @Nullable QuotaShares quotas;
        private @Nullable VersionShares versionShares;

        private Builder(EntrySettings settings) {
            this.settings = settings;
        }

        /** Sets the header names. */
        public Builder names(HeaderNames value) {
            names = value;
            return this;
        }

        /** Sets the clock. */
        public Builder clock(Clock value) {
            clock = value;
            return this;
        }

        /** Sets the random source. */
        public Builder random(RandomGenerator value) {
            random = value;
            return this;
        }

        /** Sets the event loop on which calls are handled. */
        public Builder loop(EventLoop value) {
            loop = value;
            return this;
        }

        /** Sets the admission control of the backend server on the same VM. */
        public Builder owner(OwnerCalls value) {
            owner = value;
            return this;
        }

        /** Sets the sender that forwards calls to other nodes. */
        public Builder peers(PeerSender value) {
            peers = value;
            return this;
        }

        /** Sets the counters. */
        public Builder counters(CallCounters value) {
            counters = value;
            return this;
        }

        /** Sets the supplier of the current configuration; null until there is one. */
        public Builder configurations(Supplier<@Nullable Configuration> value) {
            configurations = value;
            return this;
        }

        /** Sets the supplier of the current list of backend servers. */
        public Builder servers(Supplier<ServerList> value) {
            servers = value;
            return this;
        }

        /**
         * Sets what is known of how recent the configuration is, and the time within which a key
         * that is taken away has to be refused; null if that is not bounded for every node.
         */
        public Builder keys(KeyFreshness freshness, @Nullable Duration bound) {
            keyFreshness = freshness;
            revocationBound = bound;
            return this;
        }

        /** Sets the decisions about the quotas of accounts. */
        public Builder quotas(QuotaShares value) {
            quotas = value;
            return this;
        }

        /** Sets the decisions about versions of servers. */
        public Builder versionShares(VersionShares value) {
            versionShares = value;
            return this;
        }

        /**
         * Builds the call handler.
         *
         * @throws NullPointerException if a required property is not set
         */
        public EntryCalls build() {
            return new EntryCalls(this);
        }
    }
}
