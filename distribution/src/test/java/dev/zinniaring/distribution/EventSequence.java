package dev.zinniaring.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import dev.zinniaring.model.EndpointRecord;
import dev.zinniaring.model.EndpointState;
import dev.zinniaring.transport.Peer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A random sequence of failures and changes in a simulated mesh, after which all faults are
 * removed. {@link SimMesh} checks every version that becomes active; this class checks the final
 * state.
 */
final class EventSequence {
    private static final int EVENTS = 30;
    private static final Duration CONVERGENCE_TIME = Duration.ofSeconds(40);

    private final Random random;
    private final SimMesh mesh;
    private final Map<String, Map<String, EndpointState>> servers = new TreeMap<>();
    private final List<String> log = new ArrayList<>();

    EventSequence(long seed) {
        random = new Random(seed);
        int zones = 1 + random.nextInt(3);
        int nodesPerZone = 2 + random.nextInt(3);
        mesh = new SimMesh(seed, zones, nodesPerZone, 1 + random.nextInt(2));
        mesh.peers.forEach(peer -> servers.put(peer.nodeId(), new TreeMap<>()));
    }

    void run() {
        try {
            runEvents();
            healAndCheck();
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError("after " + String.join(", ", log), e);
        }
    }

    private void runEvents() {
        publish();
        if (random.nextBoolean()) {
            changeConditions();
        }
        mesh.startAll();
        mesh.scheduler.every(Duration.ofSeconds(1), this::announceAll);
        for (int i = 0; i < EVENTS; i++) {
            mesh.advance(Duration.ofMillis(random.nextInt(random.nextBoolean() ? 60 : 3_000)));
            event();
        }
    }

    private void event() {
        int kind = random.nextInt(28);
        if (kind < 5) {
            publish();
        } else if (kind < 7) {
            crash(anyId());
        } else if (kind < 8) {
            crashRandomShare();
        } else if (kind < 11) {
            restart();
        } else if (kind < 13) {
            pause();
        } else if (kind < 14) {
            partitionZones();
        } else if (kind < 16) {
            disconnectPlatform();
        } else if (kind < 17) {
            log.add("restore links");
            mesh.partitionedZones.clear();
            mesh.platform.unreachableZones.clear();
        } else if (kind < 18) {
            changeConditions();
        } else if (kind < 20) {
            changeServer();
        } else if (kind < 25) {
            log.add("crash at next activation");
            mesh.crashNextActivation = true;
        } else {
            log.add("restart seeds in turn");
            restartSeedsInTurn();
        }
    }

    private void changeConditions() {
        mesh.loss = random.nextDouble() * 0.4;
        mesh.duplicates = random.nextDouble() * 0.3;
        mesh.maxDelayMillis = 1 + random.nextInt(400);
        log.add("conditions");
    }

    /** Restarts the seeds one after the other, the shortest sequence that can lose a mark. */
    private void restartSeedsInTurn() {
        int delayMillis = 0;
        for (Peer peer : mesh.peers) {
            if (mesh.seeds.contains(peer.controlAddress())) {
                String nodeId = peer.nodeId();
                delayMillis += random.nextInt(1_500);
                mesh.scheduler.after(Duration.ofMillis(delayMillis), () -> mesh.crash(nodeId));
                restartAfter(nodeId, Duration.ofMillis(delayMillis + 1 + random.nextInt(300)));
            }
        }
    }

    private void publish() {
        long number = mesh.platform.head().number() + 1;
        boolean unreadable = number > 1 && random.nextInt(10) == 0;
        log.add((unreadable ? "publish unreadable " : "publish ") + number);
        if (unreadable) {
            mesh.platform.publishUnreadable();
        } else {
            mesh.platform.publish(SimTables.of(4, random.nextInt(100)));
        }
    }

    private void crash(String nodeId) {
        log.add("crash " + nodeId);
        if (random.nextInt(3) == 0) {
            servers.get(nodeId).clear();
        }
        mesh.crash(nodeId);
    }

    private void crashRandomShare() {
        double share = random.nextDouble();
        for (Peer peer : mesh.peers) {
            if (random.nextDouble() < share) {
                crash(peer.nodeId());
                restartAfter(peer.nodeId(), Duration.ofMillis(random.nextInt(4_000)));
            }
        }
    }

    private void restart() {
        for (Peer peer : mesh.peers) {
            if (random.nextInt(3) > 0) {
                restartAfter(peer.nodeId(), Duration.ZERO);
            }
        }
    }

    private void restartAfter(String nodeId, Duration delay) {
        mesh.scheduler.after(
                delay,
                () -> {
                    log.add("start " + nodeId);
                    mesh.startIfDown(nodeId);
                });
    }

    private void pause() {
        SimNode node = mesh.node(anyId());
        if (node != null) {
            log.add("pause " + node.peer.nodeId());
            node.pause();
            mesh.scheduler.after(Duration.ofMillis(random.nextInt(15_000)), node::resume);
        }
    }

    private void partitionZones() {
        String zone = anyPeer().zone();
        String other = anyPeer().zone();
        log.add("cut " + zone + " from " + other);
        if (!zone.equals(other)) {
            mesh.partition(zone, other);
        }
    }

    private void disconnectPlatform() {
        log.add("cut platform");
        mesh.peers.forEach(peer -> disconnectZone(peer.zone()));
    }

    private void disconnectZone(String zone) {
        if (random.nextInt(4) > 0) {
            mesh.platform.unreachableZones.add(zone);
        }
    }

    private void changeServer() {
        String nodeId = anyId();
        String serverId = "s" + random.nextInt(2) + "-" + nodeId;
        if (random.nextInt(3) == 0) {
            servers.get(nodeId).remove(serverId);
        } else {
            servers.get(nodeId).put(serverId, EndpointState.values()[random.nextInt(3)]);
        }
    }

    /** Simulates the backend servers, which announce themselves to their node every second. */
    private void announceAll() {
        for (SimNode node : mesh.nodes.values()) {
            if (!node.paused) {
                announce(node);
            }
        }
    }

    private void announce(SimNode node) {
        Map<String, EndpointState> wanted = servers.get(node.peer.nodeId());
        for (EndpointRecord record : List.copyOf(node.endpoints.view().all())) {
            boolean own = record.nodeId().equals(node.peer.nodeId());
            if (own && !wanted.containsKey(record.serverId())) {
                node.endpoints.withdraw(record.serverId());
            }
        }
        wanted.forEach((id, state) -> mesh.announce(node.peer.nodeId(), id, state));
    }

    private void healAndCheck() {
        log.add("heal");
        mesh.heal();
        mesh.platform.publish(SimTables.of(4, 100 + random.nextInt(100)));
        mesh.advance(CONVERGENCE_TIME);
        VersionDistributionTest.assertAllInForce(mesh, mesh.platform.head().number());
        Map<String, EndpointState> wanted = new TreeMap<>();
        servers.values().forEach(wanted::putAll);
        for (SimNode node : mesh.nodes.values()) {
            Map<String, EndpointState> seen = new TreeMap<>();
            node.endpoints.view().all().forEach(r -> seen.put(r.serverId(), r.state()));
            assertThat(seen).as("endpoints on %s", node.peer.nodeId()).isEqualTo(wanted);
            assertThat(node.versions.taskFailures() + node.endpoints.taskFailures()).isZero();
        }
    }

    private Peer anyPeer() {
        return mesh.peers.get(random.nextInt(mesh.peers.size()));
    }

    private String anyId() {
        return anyPeer().nodeId();
    }
}
