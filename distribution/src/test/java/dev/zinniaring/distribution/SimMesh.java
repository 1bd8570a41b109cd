package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.kernel.ManualClock;
import dev.zinniaring.kernel.ManualScheduler;
import dev.zinniaring.membership.Member;
import dev.zinniaring.membership.MemberState;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.model.TablesCodec;
import dev.zinniaring.model.Version;
import dev.zinniaring.transport.Peer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Mesh of real distributions over an in-memory network, on a manual clock. Checks every version
 * that becomes active: it must have been accepted, and its number must not be below any that was
 * active on the same node before, including earlier incarnations.
 */
final class SimMesh {
    private static final Duration DETECTION_DELAY = Duration.ofSeconds(3);
    private static final Duration GOSSIP_INTERVAL = Duration.ofMillis(500);

    final ManualClock clock = ManualClock.startingAt(Instant.ofEpochMilli(1_700_000_000_000L));
    final ManualScheduler scheduler = new ManualScheduler(clock);
    final SimPlatform platform = new SimPlatform();
    final Random random;
    final List<InetSocketAddress> seeds = new ArrayList<>();
    final List<Peer> peers = new ArrayList<>();
    final Map<String, SimNode> nodes = new TreeMap<>();
    final Set<Set<String>> partitionedZones = new HashSet<>();
    final Map<String, Integer> crossZoneMessages = new TreeMap<>();
    long bytes;
    long crossZoneBytes;

    /** Whether the next node that activates a version crashes before it has sent anything. */
    boolean crashNextActivation;

    double loss;
    double duplicates;
    int maxDelayMillis = 5;

    private final Map<String, Map<String, Member>> knownMembers = new HashMap<>();
    private final Map<String, Long> crashNanos = new HashMap<>();
    private final Map<String, Long> activeVersions = new HashMap<>();

    SimMesh(long seed, int zones, int nodesPerZone, int seedsPerZone) {
        random = new Random(seed);
        for (int zone = 0; zone < zones; zone++) {
            for (int i = 0; i < nodesPerZone; i++) {
                InetSocketAddress address =
                        new InetSocketAddress("10.0." + zone + "." + (i + 1), 7400);
                peers.add(new Peer("n" + zone + "-" + i, "zone" + zone, address));
                if (i < seedsPerZone) {
                    seeds.add(address);
                }
            }
        }
        scheduler.every(GOSSIP_INTERVAL, this::gossip);
    }

    void startAll() {
        peers.forEach(peer -> start(peer.nodeId()));
    }

    void start(String nodeId) {
        Peer peer = peer(nodeId);
        SimNode node = new SimNode(this, peer, clock.now().toEpochMilli());
        node.versions.subscribe(version -> check(nodeId, version));
        nodes.put(nodeId, node);
        crashNanos.remove(nodeId);
        gossip();
        node.start();
    }

    void startIfDown(String nodeId) {
        if (!nodes.containsKey(nodeId)) {
            start(nodeId);
        }
    }

    /** Crashes a node; it loses all its state. */
    void crash(String nodeId) {
        SimNode node = nodes.remove(nodeId);
        if (node != null) {
            node.dead = true;
            crashNanos.put(nodeId, clock.nanos());
        }
    }

    void advance(Duration step) {
        scheduler.advance(step);
    }

    SimNode node(String nodeId) {
        return nodes.get(nodeId);
    }

    Peer peer(String nodeId) {
        return peers.stream().filter(p -> p.nodeId().equals(nodeId)).findFirst().orElseThrow();
    }

    String readerOf(String zone) {
        return nodes.values().stream()
                .filter(node -> node.peer.zone().equals(zone) && node.view().isHeadReader())
                .map(node -> node.peer.nodeId())
                .findFirst()
                .orElseThrow();
    }

    void partition(String zone, String other) {
        partitionedZones.add(Set.of(zone, other));
    }

    boolean isPartitioned(String zone, String other) {
        return !zone.equals(other) && partitionedZones.contains(Set.of(zone, other));
    }

    void heal() {
        crashNextActivation = false;
        partitionedZones.clear();
        platform.unreachableZones.clear();
        loss = 0;
        duplicates = 0;
        nodes.values().forEach(SimNode::resume);
        peers.stream().map(Peer::nodeId).filter(id -> !nodes.containsKey(id)).forEach(this::start);
    }

    Duration platformDelay() {
        return Duration.ofMillis(1 + random.nextInt(10 * maxDelayMillis));
    }

    void announce(String nodeId, String serverId, EndpointState state) {
        node(nodeId)
                .endpoints
                .announce(new Endpoints.LocalEndpoint(serverId, "service", 1, 1, state, 0));
    }

    /**
     * Returns the members as seen by a node. The entries of zones that the node's zone can reach
     * are up to date.
     */
    Map<String, Member> knownMembers(SimNode node) {
        Map<String, Member> members =
                new TreeMap<>(knownMembers.getOrDefault(node.peer.zone(), Map.of()));
        members.put(node.peer.nodeId(), node.member(MemberState.ALIVE));
        return members;
    }

    void transmit(SimNode from, InetSocketAddress to, int type, byte[] bytes) {
        this.bytes += bytes.length;
        Peer target =
                peers.stream().filter(p -> p.controlAddress().equals(to)).findFirst().orElseThrow();
        if (!from.peer.zone().equals(target.zone())) {
            crossZoneBytes += bytes.length;
            crossZoneMessages.merge(
                    type + " " + from.peer.zone() + ">" + target.zone(), 1, Integer::sum);
        }
        if (!from.muted && random.nextDouble() >= loss) {
            deliverLater(from, target, type, bytes);
        }
        if (!from.muted && random.nextDouble() < duplicates) {
            deliverLater(from, target, type, bytes);
        }
    }

    private void deliverLater(SimNode from, Peer target, int type, byte[] bytes) {
        Duration delay = Duration.ofMillis(1 + random.nextInt(maxDelayMillis));
        scheduler.after(
                delay,
                () -> {
                    SimNode node = nodes.get(target.nodeId());
                    if (node != null && !isPartitioned(from.peer.zone(), target.zone())) {
                        node.receive(from.peer, type, bytes);
                    }
                });
    }

    private void gossip() {
        for (Peer observer : peers) {
            Map<String, Member> members =
                    knownMembers.computeIfAbsent(observer.zone(), zone -> new TreeMap<>());
            for (Peer peer : peers) {
                if (!isPartitioned(observer.zone(), peer.zone())) {
                    refresh(members, peer.nodeId());
                }
            }
        }
    }

    private void refresh(Map<String, Member> members, String nodeId) {
        SimNode node = nodes.get(nodeId);
        Member last = members.get(nodeId);
        if (node != null) {
            members.put(nodeId, node.member(MemberState.ALIVE));
        } else if (last != null
                && clock.since(crashNanos.get(nodeId)).compareTo(DETECTION_DELAY) >= 0) {
            members.put(nodeId, new Member(last.peer(), last.incarnation(), MemberState.DEAD));
        }
    }

    private void check(String nodeId, Version version) {
        long before = activeVersions.getOrDefault(nodeId, 0L);
        assertThat(version.number())
                .as("active version on " + nodeId)
                .isGreaterThanOrEqualTo(before);
        assertThat(version.hash()).isEqualTo(platform.hash(version.number()));
        assertThat(TablesCodec.hash(TablesCodec.encode(version.tables())))
                .isEqualTo(version.hash());
        activeVersions.put(nodeId, version.number());
        if (crashNextActivation) {
            crashNextActivation = false;
            nodes.get(nodeId).muted = true;
            scheduler.after(Duration.ofMillis(1), () -> crash(nodeId));
            scheduler.after(Duration.ofMillis(2 + random.nextInt(500)), () -> startIfDown(nodeId));
        }
    }
}
