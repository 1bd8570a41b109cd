package dev.zinniaring.membership;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.ManualScheduler;
import dev.zinniaring.transport.Message;
import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulated processes that exchange messages under loss, delay, duplication and partitions. Runs on
 * one thread with a manual clock, so that a seed reproduces a run exactly.
 */
final class SimMesh {
    private static final Duration MAX_DELAY = Duration.ofMillis(60);

    final ManualClock clock = ManualClock.startingAt(Instant.ofEpochMilli(1_000_000_000));
    final ManualScheduler scheduler = new ManualScheduler(clock);
    final List<InetSocketAddress> seeds = new ArrayList<>();
    final Map<String, SimNode> nodes = new HashMap<>();
    final Set<Long> lives = new HashSet<>();
    double loss;
    double duplication;
    private final SplittableRandom random;
    private final Set<String> cuts = new HashSet<>();
    private final Map<String, Long> frameDueNanos = new HashMap<>();
    private final Map<String, Integer> restarts = new HashMap<>();
    private long messages;

    SimMesh(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Starts nodes in several zones; the first two nodes of each zone are seeds. */
    void start(int zones, int nodesPerZone) {
        for (int i = 0; i < zones * nodesPerZone; i++) {
            if (i / zones < 2) {
                seeds.add(address("n" + i));
            }
        }
        for (int i = 0; i < zones * nodesPerZone; i++) {
            start("n" + i, "z" + i % zones);
        }
    }

    /** Starts a process of a node, which replaces an earlier one. */
    SimNode start(String nodeId, String zone) {
        run(Duration.ofMillis(1 + random.nextInt(300)));
        return start(nodeId, zone, clock.now().toEpochMilli());
    }

    /**
     * Starts a process of a node with the given life, such as one from a clock that stepped back.
     */
    SimNode start(String nodeId, String zone, long life) {
        Peer self = new Peer(nodeId, zone, address(nodeId));
        lives.add(life);
        SimNode node = new SimNode(this, self, life, random.split());
        nodes.put(nodeId, node);
        node.membership.start();
        checkLivesOnChange(node);
        return node;
    }

    /** Crashes a node; with {@code moves} it restarts at another address, unless it is a seed. */
    void crash(String nodeId, boolean moves) {
        nodes.get(nodeId).crash();
        boolean seed = seeds.contains(address(nodeId));
        if (moves && !seed) {
            restarts.merge(nodeId, 1, Integer::sum);
        }
    }

    void run(Duration time) {
        scheduler.advance(time);
    }

    /** Cuts or restores the path between two zones or two nodes, in both directions. */
    void cut(String one, String other, boolean isCut) {
        if (isCut) {
            cuts.add(one + "|" + other);
            cuts.add(other + "|" + one);
        } else {
            cuts.remove(one + "|" + other);
            cuts.remove(other + "|" + one);
        }
    }

    void healAll() {
        cuts.clear();
        loss = 0;
        duplication = 0;
        nodes.values().stream().filter(SimNode::isPaused).forEach(SimNode::resume);
    }

    long messages() {
        return messages;
    }

    List<SimNode> running() {
        return nodes.values().stream().filter(SimNode::isRunning).toList();
    }

    void datagram(Peer from, Peer to, Message message) {
        messages++;
        int copies = random.nextDouble() < duplication ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= loss) {
                deliver(from, to.controlAddress(), to.nodeId(), message, delayNanos());
            }
        }
    }

    /**
     * Sends a frame. Frames between two nodes stay in order; each may be lost, as when a link
     * breaks.
     */
    void frame(Peer from, InetSocketAddress to, String nodeId, Message message) {
        messages++;
        if (random.nextDouble() < loss / 4) {
            return;
        }
        String pair = from.nodeId() + ">" + to;
        long due = clock.nanos() + delayNanos();
        due = Math.max(due, frameDueNanos.getOrDefault(pair, 0L));
        frameDueNanos.put(pair, due);
        deliver(from, to, nodeId, message, due - clock.nanos());
    }

    private void deliver(
            Peer from, InetSocketAddress to, String nodeId, Message message, long delayNanos) {
        scheduler.after(
                Duration.ofNanos(delayNanos),
                () -> {
                    SimNode target = nodeAt(to);
                    boolean expected =
                            target != null
                                    && (nodeId == null || target.self().nodeId().equals(nodeId));
                    if (expected && !isCut(from, target.self())) {
                        target.receive(from, message);
                    }
                });
    }

    private boolean isCut(Peer from, Peer to) {
        return cuts.contains(from.zone() + "|" + to.zone())
                || cuts.contains(from.nodeId() + "|" + to.nodeId());
    }

    private SimNode nodeAt(InetSocketAddress address) {
        for (SimNode node : nodes.values()) {
            if (node.isRunning() && node.self().controlAddress().equals(address)) {
                return node;
            }
        }
        return null;
    }

    private long delayNanos() {
        return random.nextLong(MAX_DELAY.toNanos());
    }

    private InetSocketAddress address(String nodeId) {
        int number = Integer.parseInt(nodeId.substring(1));
        int port = 1_000 + number + 1_000 * restarts.getOrDefault(nodeId, 0);
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** Checks at each change that every life seen was started and never decreases. */
    private void checkLivesOnChange(SimNode node) {
        node.membership.subscribe(
                (before, after) -> {
                    for (SimNode other : nodes.values()) {
                        String id = other.self().nodeId();
                        long was = before.member(id).map(Member::life).orElse(0L);
                        long is = after.member(id).map(Member::life).orElse(was);
                        if (is < was || (is != 0 && !lives.contains(is))) {
                            throw new AssertionError(
                                    node.self().nodeId()
                                            + " saw "
                                            + id
                                            + " go from life "
                                            + was
                                            + " to "
                                            + is);
                        }
                    }
                });
    }
}
