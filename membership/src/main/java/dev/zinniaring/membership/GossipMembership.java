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
 * Gossip-based membership in the manner of SWIM: nodes probe members of their own availability
 * zone, and gateways exchange member lists between zones.
 *
 * <pre>{@code
 * GossipMembership membership = GossipMembership.builder()
 *         .network(network).scheduler(scheduler).seeds(seeds).build();
 * network.start();
 * membership.start();
 * }</pre>
 */
public final class GossipMembership implements Membership {
    /** Delay of a tick above which the process is taken to have been paused. */
    private static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(1);

    private static final int MAX_LEAVE_DATAGRAMS = 8;

    private final Object lock = new Object();
    private final Network network;
    private final Clock clock;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final GossipTimings timings;
    private final List<InetSocketAddress> seeds;
    private final Listeners listeners;
    private @Nullable Components components;
    private Scheduler.@Nullable Cancellable tickTask;
    private long lastTickNanos;
    private volatile @Nullable ViewSnapshot view;

    /** The components of the protocol, created by {@link #start()}. */
    private record Components(
            MembershipContext context, Prober prober, ListExchange exchange, Joiner joiner) {}

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

    /**
     * Starts joining the mesh and probing. The network must have been started.
     *
     * @throws IllegalStateException if this membership is already running
     */
    public void start() {
        synchronized (lock) {
            if (components != null) {
                throw new IllegalStateException("membership is already started");
            }
            MembershipContext context = new MembershipContext(network, clock, random, timings);
            seeds.remove(network.self().controlAddress());
            Prober prober = new Prober(context);
            ListExchange exchange = new ListExchange(context, prober, seeds);
            components = new Components(context, prober, exchange, new Joiner(context, seeds));
            view = context.view();
            lastTickNanos = clock.nanos();
            tickTask = scheduler.every(timings.tickPeriod(), this::tick);
        }
    }

    /** Stops probing and answering. Idempotent. */
    public void stop() {
        synchronized (lock) {
            if (tickTask != null) {
                tickTask.cancel();
                tickTask = null;
            }
            components = null;
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
            if (components == null || components.context.isLeaving()) {
                return;
            }
            MembershipContext context = components.context;
            context.leave();
            Leave leave = new Leave(context.sender());
            context.view().neighbours().forEach(peer -> network.send(peer, leave));
            context.view().othersInZone().stream()
                    .limit(MAX_LEAVE_DATAGRAMS)
                    .forEach(member -> network.sendDatagram(member.peer(), leave));
            components.exchange.pushToOtherZones();
            publish(context);
        }
    }

    /**
     * Returns whether a seed has sent the complete member list, or there is no other seed to ask.
     */
    public boolean joined() {
        synchronized (lock) {
            return components != null && components.joiner.joined();
        }
    }

    /**
     * Returns the membership section of the state dump.
     *
     * @throws IllegalStateException if this membership is not running
     */
    public MembershipState state() {
        synchronized (lock) {
            if (components == null) {
                throw new IllegalStateException("membership is not running");
            }
            return StateDump.of(components.context, components.joiner.joined());
        }
    }

    private <M extends Message> void handle(
            MessageCodec<M> codec,
            java.util.function.Function<Components, BiConsumer<Peer, M>> handlerOf) {
        network.registerHandler(
                codec,
                (from, message) -> {
                    synchronized (lock) {
                        if (components != null) {
                            handlerOf.apply(components).accept(from, message);
                        }
                    }
                });
    }

    private static void onLeave(Components components, Peer from, Leave leave) {
        components.context.merge(leave.sender().toMember(from).with(MemberState.LEFT));
    }

    /**
     * Runs the timers and publishes the changes since the last tick. Publishing once per tick
     * bounds the cost of building views, however many messages bring changes.
     */
    private void tick() {
        synchronized (lock) {
            if (components == null) {
                return;
            }
            long now = clock.nanos();
            long lateNanos = now - lastTickNanos - timings.tickPeriod().toNanos();
            lastTickNanos = now;
            if (lateNanos > PAUSE_THRESHOLD.toNanos()) {
                components.prober.onResume(lateNanos);
            }
            publish(components.context);
            if (!components.context.isLeaving()) {
                components.joiner.tick();
                components.exchange.tick();
                components.prober.tick();
                publish(components.context);
            }
        }
    }

    private void publish(MembershipContext context) {
        ViewSnapshot before = view;
        ViewSnapshot after = context.refreshView();
        if (before != null && after != null) {
            view = after;
            listeners.notifyChanged(before, after);
        }
    }
}
