package dev.zinniaring.node;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.membership.Member;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.transport.Network;
import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Finds the admin addresses of the members of the mesh. Queries members by datagram only on demand,
 * so that it causes no traffic while nobody asks.
 */
final class AdminDirectory {
    private static final Duration CACHE_TTL = Duration.ofSeconds(10);
    private static final int MAX_QUERIES = 4;
    private static final int QUERY_TIMEOUT_MILLIS = 100;

    private final String ownNodeId;
    private final Membership membership;
    private final Network network;
    private final Clock clock;
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();
    private final Object arrival = new Object();
    private volatile String ownAddress = "";

    private record Entry(String address, long receivedNanos) {}

    /** Registers the message handlers; the network must not have been started yet. */
    AdminDirectory(String ownNodeId, Membership membership, Network network, Clock clock) {
        this.ownNodeId = ownNodeId;
        this.membership = membership;
        this.network = network;
        this.clock = clock;
        network.registerHandler(
                AdminMessages.AdminQuery.CODEC,
                (from, query) ->
                        network.sendDatagram(from, new AdminMessages.AdminAnswer(ownAddress)));
        network.registerHandler(
                AdminMessages.AdminAnswer.CODEC,
                (from, answer) -> recordAddress(from.nodeId(), answer.address()));
    }

    /** Sets the address that this node sends to other nodes. */
    void setOwnAddress(String address) {
        ownAddress = address;
    }

    private void recordAddress(String nodeId, String address) {
        if (address.isEmpty() || membership.view().member(nodeId).isEmpty()) {
            return;
        }
        entries.put(nodeId, new Entry(address, clock.nanos()));
        synchronized (arrival) {
            arrival.notifyAll();
        }
    }

    /** Returns the admin addresses of the live members that answered, by node id. */
    SortedMap<String, String> addresses() {
        Collection<Member> live = membership.view().liveMembers();
        entries.values()
                .removeIf(entry -> clock.since(entry.receivedNanos()).compareTo(CACHE_TTL) > 0);
        for (int i = 0; i < MAX_QUERIES && queryUnknown(live) > 0; i++) {
            await(live);
        }
        SortedMap<String, String> addresses = new TreeMap<>();
        for (Member member : live) {
            Entry entry = entries.get(member.nodeId());
            if (entry != null) {
                addresses.put(member.nodeId(), entry.address());
            }
        }
        addresses.put(ownNodeId, ownAddress);
        return addresses;
    }

    /** Queries the members whose address is not cached, and returns their number. */
    private int queryUnknown(Collection<Member> live) {
        int queried = 0;
        for (Member member : live) {
            if (!member.nodeId().equals(ownNodeId) && !entries.containsKey(member.nodeId())) {
                network.sendDatagram(member.peer(), new AdminMessages.AdminQuery());
                queried++;
            }
        }
        return queried;
    }

    /** Waits until all addresses are known or the query times out. */
    private void await(Collection<Member> live) {
        long startNanos = clock.nanos();
        synchronized (arrival) {
            try {
                long leftMillis = QUERY_TIMEOUT_MILLIS;
                while (leftMillis > 0 && !allKnown(live)) {
                    arrival.wait(leftMillis);
                    leftMillis = QUERY_TIMEOUT_MILLIS - clock.since(startNanos).toMillis();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private boolean allKnown(Collection<Member> live) {
        return live.stream()
                .map(Member::nodeId)
                .allMatch(nodeId -> nodeId.equals(ownNodeId) || entries.containsKey(nodeId));
    }
}
