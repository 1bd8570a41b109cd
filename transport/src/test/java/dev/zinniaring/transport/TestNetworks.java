package dev.zinniaring.transport;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.ExecutorScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/** Starts networks on loopback that record the notes they receive. */
final class TestNetworks implements AutoCloseable {
    static final long WAIT_SECONDS = 20;

    final ExecutorScheduler scheduler = new ExecutorScheduler("test-timer", 1);
    final IoLoop loop;
    final LinkConditions conditions = new LinkConditions();
    private final List<TcpNetwork> networks = new ArrayList<>();

    /** A received note and its sender. */
    record Received(Peer from, Note note) {}

    /** A started network and the notes it has received. */
    record Node(TcpNetwork network, BlockingQueue<Received> inbox) {
        Peer peer() {
            return network.self();
        }

        long receive() throws InterruptedException {
            Received received = inbox.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            return received == null ? -1 : received.note().number();
        }

        long faults(TransportFault fault) {
            return network.counters().snapshot().count(fault);
        }
    }

    TestNetworks() throws TransportException {
        loop = IoLoop.open("test-io");
    }

    Node start(String nodeId, String zone, long incarnation) throws TransportException {
        return start(nodeId, zone, incarnation, b -> b);
    }

    Node start(String id, String zone, long incarnation, UnaryOperator<TcpNetworkBuilder> more)
            throws TransportException {
        TcpNetworkBuilder builder =
                TcpNetwork.builder()
                        .mesh("test")
                        .nodeId(id)
                        .zone(zone)
                        .incarnation(incarnation)
                        .clock(Clock.system())
                        .scheduler(scheduler)
                        .random(new SplittableRandom(1))
                        .conditions(conditions)
                        .loop(loop);
        Node node = new Node(more.apply(builder).build(), new LinkedBlockingQueue<>());
        node.network.registerHandler(
                Note.CODEC, (from, note) -> node.inbox.add(new Received(from, note)));
        node.network.start();
        networks.add(node.network);
        return node;
    }

    /** Polls a condition. The limit is generous because a busy machine may stall for seconds. */
    static boolean eventually(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + Duration.ofSeconds(WAIT_SECONDS).toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            Thread.sleep(5);
        }
        return true;
    }

    @Override
    public void close() {
        networks.forEach(TcpNetwork::close);
        loop.close();
        scheduler.close();
    }
}
