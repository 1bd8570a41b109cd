package dev.zinniaring.sidecar;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.admission.HoldRule;
import dev.zinniaring.calls.Addresses;
import dev.zinniaring.calls.CallCounters;
import dev.zinniaring.calls.Configuration;
import dev.zinniaring.calls.EntryCalls;
import dev.zinniaring.calls.EntrySettings;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.calls.LocalServer;
import dev.zinniaring.calls.OwnerCalls;
import dev.zinniaring.calls.PeerSender;
import dev.zinniaring.calls.PooledHttpClient;
import dev.zinniaring.calls.ServerList;
import dev.zinniaring.kernel.Clock;
import io.netty.channel.EventLoop;
import java.util.Objects;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * The call path of a sidecar: calls of local callers, calls to other nodes, and calls to the
 * backend server, with the crash guard that they share.
 */
record CallPath(CrashGuard guard, OwnerCalls owner, PeerSender peers, EntryCalls entry) {
    /**
     * Number of crashes from which requests that were in flight at the same ones run at different
     * servers. After a single crash, all interrupted calls are repeated at once.
     */
    private static final int ISOLATED_FROM_CRASHES = 2;

    /** Requests that are remembered as in flight at a crash, of some 500 bytes each. */
    private static final int MAX_SUSPECTS = 1_000;

    /** Returns a builder; all properties are required. */
    static Builder builder(SidecarSettings settings) {
        return new Builder(settings);
    }

    /** Builds a {@link CallPath}. */
    static final class Builder {
        private final SidecarSettings settings;
        private HeaderNames names = HeaderNames.builder().build();
        private Clock clock = Clock.system();
        private RandomGenerator random = RandomGenerator.getDefault();
        private CallCounters counters = new CallCounters();
        private @Nullable EventLoop loop;
        private @Nullable PooledHttpClient client;
        private Supplier<@Nullable LocalServer> localServer = () -> null;
        private Supplier<@Nullable Configuration> configurations = () -> null;
        private Supplier<ServerList> servers = () -> ServerList.EMPTY;
        private @Nullable Coordination control;

        private Builder(SidecarSettings settings) {
            this.settings = settings;
        }

        /** Sets the header names. */
        Builder names(HeaderNames value) {
            names = value;
            return this;
        }

        /** Sets the clock. */
        Builder clock(Clock value) {
            clock = value;
            return this;
        }

        /** Sets the random source. */
        Builder random(RandomGenerator value) {
            random = value;
            return this;
        }

        /** Sets the counters. */
        Builder counters(CallCounters value) {
            counters = value;
            return this;
        }

        /** Sets the event loop on which calls are handled. */
        Builder loop(EventLoop value) {
            loop = value;
            return this;
        }

        /** Sets the client that sends calls to other nodes and to the backend server. */
        Builder client(PooledHttpClient value) {
            client = value;
            return this;
        }

        /** Sets the supplier of the backend server on this VM, null while none is known. */
        Builder localServer(Supplier<@Nullable LocalServer> value) {
            localServer = value;
            return this;
        }

        /** Sets the supplier of the current configuration, null until there is one. */
        Builder configurations(Supplier<@Nullable Configuration> value) {
            configurations = value;
            return this;
        }

        /** Sets the supplier of the current list of backend servers. */
        Builder servers(Supplier<ServerList> value) {
            servers = value;
            return this;
        }

        /** Sets what the nodes agree on beyond the configuration. */
        Builder control(Coordination value) {
            control = value;
            return this;
        }

        /**
         * Builds the call path.
         *
         * @throws NullPointerException if the event loop, the client or the control is not set
         */
        CallPath build() {
            PooledHttpClient http = Objects.requireNonNull(client, "client");
            CrashGuard guard =
                    CrashGuard.builder()
                            .clock(clock)
                            .nodeId(settings.nodeId())
                            .rule(HoldRule.whenCauseIsCertain(ISOLATED_FROM_CRASHES))
                            .maxSuspects(MAX_SUSPECTS)
                            .build();
            OwnerCalls owner = new OwnerCalls(http, names, clock, counters, localServer, guard);
            owner.observeUnrequestedAnswers();
            PeerSender peers = new PeerSender(http, names, clock, counters);
            EntrySettings entrySettings =
                    new EntrySettings(
                            settings.zone(),
                            settings.service(),
                            Addresses.text(settings.announcedPeerCalls()),
                            settings.retryRatio(),
                            settings.retryAllowance(),
                            settings.retryWindow());
            Coordination agreed = Objects.requireNonNull(control, "control");
            EntryCalls entry =
                    EntryCalls.builder(entrySettings)
                            .names(names)
                            .clock(clock)
                            .random(random)
                            .loop(Objects.requireNonNull(loop, "loop"))
                            .owner(owner)
                            .peers(peers)
                            .counters(counters)
                            .configurations(configurations)
                            .servers(servers)
                            .keys(agreed.keys(), settings.control().keyRevocation())
                            .quotas(agreed.quotas())
                            .versionShares(agreed.versions())
                            .build();
            return new CallPath(guard, owner, peers, entry);
        }
    }
}
