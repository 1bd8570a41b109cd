package dev.zinniaring.membership;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.membership.Messages.Ack;
import dev.zinniaring.membership.Messages.Join;
import dev.zinniaring.membership.Messages.JoinReply;
import dev.zinniaring.membership.Messages.Leave;
import dev.zinniaring.membership.Messages.MemberBuckets;
import dev.zinniaring.membership.Messages.MemberDigest;
import dev.zinniaring.membership.Messages.MemberEntries;
import dev.zinniaring.membership.Messages.MemberUpdate;
import dev.zinniaring.membership.Messages.Ping;
import dev.zinniaring.membership.Messages.PingRequest;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.MessageCodec;
import dev.zinniaring.transport.Network;
import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Membership by gossip: probes within the availability zone, lists across zones.
 *
 * <pre>{@code
 * GossipMembership membership = GossipMembership.builder()
 *         .network(network).scheduler(scheduler).seeds(seeds).build();
 * network.start();
 * membership.start();
 * }</pre>
 */
public final class GossipMembership implements Membership {
    private static final Duration PAUSE = Duration.ofSeconds(1);
    private static final int LEAVE_DATAGRAMS = 8;

    private final Object lock = new Object();
    private final Network network;
    private final Clock clock;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final GossipTimings timings;
    private final List<InetSocketAddress> seeds;
    private final Listeners listeners;
    private @Nullable Parts parts;
    private Scheduler.@Nullable Cancellable ticks;
    private long lastTickNanos;
    private volatile @Nullable ViewSnapshot view;

    /** The parts of the protocol, which exist from the start on. */
    private record Parts(Core core, Prober prober, ListExchange exchange, Joiner joiner) {}

    GossipMembership(
            Network network,
            Clock clock,
            Scheduler scheduler,
            RandomGenerator random,
            GossipTimings timings,
            List<InetSocketAddress> seeds) {
        this.network = network;
        this.clock = clock;
        this.scheduler = scheduler;
        this.random = random;
        this.timings = timings;
        this.seeds = seeds;
        this.listeners = new Listeners(scheduler);
        handle(Ping.CODEC, p -> p.prober::onPing);
        handle(PingRequest.CODEC, p -> p.prober::onPingRequest);
        handle(Ack.CODEC, p -> p.prober::onAck);
        handle(MemberUpdate.CODEC, p -> p.prober::onUpdate);
        handle(Join.CODEC, p -> p.joiner::onJoin);
        handle(JoinReply.CODEC, p -> p.joiner::onReply);
        handle(Leave.CODEC, p -> (from, leave) -> onLeave(p, from, leave));
        handle(MemberDigest.CODEC, p -> p.exchange::onDigest);
        handle(MemberBuckets.CODEC, p -> p.exchange::onBuckets);
        handle(MemberEntries.CODEC, p -> p.exchange::onEntries);
    }

    /** Returns a builder. */
    public static GossipMembershipBuilder builder() {
        return new GossipMembershipBuilder();
    }

    /** Begins to join and to probe. The network must have been started. */
    public void start() {
        synchronized (lock) {
            if (parts != null) {
                throw new IllegalStateException("membership is already started");
            }
            Core core = new Core(network, clock, random, timings);
            seeds.remove(network.self().controlAddress());
            Prober prober = new Prober(core);
            ListExchange exchange = new ListExchange(core, prober, seeds);
            parts = new Parts(core, prober, exchange, new Joiner(core, seeds));
            view = core.view();
            lastTickNanos = clock.nanos();
            ticks = scheduler.every(timings.tick(), this::tick);
        }
    }

    /** Stops probing and answering. Does nothing if called again. */
    public void stop() {
        synchronized (lock) {
            if (ticks != null) {
                ticks.cancel();
                ticks = null;
            }
            parts = null;
        }
    }

    @Override
    public MemberView view() {
        ViewSnapshot now = view;
        if (now == null) {
            throw new IllegalStateException("membership has not been started");
        }
        return now;
    }

    @Override
    public void subscribe(Listener listener) {
        listeners.add(listener);
    }

    @Override
    public void leave() {
        synchronized (lock) {
            if (parts == null || parts.core.isLeaving()) {
                return;
            }
            Core core = parts.core;
            core.leave();
            Leave leave = new Leave(core.sender());
            core.view().neighbours().forEach(peer -> network.send(peer, leave));
            core.view().othersInZone().stream()
                    .limit(LEAVE_DATAGRAMS)
                    .forEach(member -> network.datagram(member.peer(), leave));
            parts.exchange.pushToOtherZones();
            publish(core);
        }
    }

    /** Returns whether a seed has told of all members, or there is no other seed to ask. */
    public boolean joined() {
        synchronized (lock) {
            return parts != null && parts.joiner.joined();
        }
    }

    /** Returns the state for the dump. */
    public MembershipState state() {
        synchronized (lock) {
            if (parts == null) {
                throw new IllegalStateException("membership is not running");
            }
            return StateDump.of(parts.core, parts.joiner.joined());
        }
    }

    private <M extends Message> void handle(
            MessageCodec<M> codec, java.util.function.Function<Parts, BiConsumer<Peer, M>> chosen) {
        network.handle(
                codec,
                (from, message) -> {
                    synchronized (lock) {
                        if (parts != null) {
                            chosen.apply(parts).accept(from, message);
                        }
                    }
                });
    }

    private static void onLeave(Parts parts, Peer from, Leave leave) {
        parts.core.merge(leave.sender().as(from).with(MemberState.LEFT));
    }

    /**
     * Runs the timers and publishes what changed since the last tick, so that the cost of new views
     * is bounded however many messages bring changes.
     */
    private void tick() {
        synchronized (lock) {
            if (parts == null) {
                return;
            }
            long now = clock.nanos();
            long lateNanos = now - lastTickNanos - timings.tick().toNanos();
            lastTickNanos = now;
            if (lateNanos > PAUSE.toNanos()) {
                parts.prober.resumed(lateNanos);
            }
            publish(parts.core);
            if (!parts.core.isLeaving()) {
                parts.joiner.tick();
                parts.exchange.tick();
                parts.prober.tick();
                publish(parts.core);
            }
        }
    }

    private void publish(Core core) {
        ViewSnapshot before = view;
        ViewSnapshot after = core.refresh();
        if (before != null && after != null) {
            view = after;
            listeners.changed(before, after);
        }
    }
}
