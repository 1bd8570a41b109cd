package dev.zinniaring.sidecar;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.admission.Suspect;
import dev.zinniaring.admission.SuspectCodec;
import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.CallCounters;
import dev.zinniaring.calls.Exchange;
import dev.zinniaring.model.EndpointRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells all nodes which requests were in flight when backend servers crashed, so that every node
 * holds back a request that crashes servers. What a node sees is pushed to all others at once; a
 * node that missed a push notices by the hash in its peers' digests, and a node that has just
 * started asks some of them before it takes calls.
 */
final class SuspectGossip {
    static final String PATH = "/peer/suspects";

    private static final Logger log = LoggerFactory.getLogger("peers");
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;

    /**
     * Number of nodes to which suspects are pushed directly. In a larger mesh, nodes to which they
     * are new push them on.
     */
    private static final int MAX_DIRECT_PUSHES = 128;

    /** Nodes that a node asks when it starts, from its own availability zone and from others. */
    private static final int ASKED_AT_START = 3;

    private final PeerClient client;
    private final CrashGuard guard;
    private final RandomGenerator random;
    private final CallCounters counters;
    private final Supplier<List<EndpointRecord>> nodes;
    private final String ownAddress;
    private final String zone;
    private boolean asked;
    private boolean informed;
    private int answersDue;

    /**
     * Creates the gossip component.
     *
     * @param nodes supplies the records of all nodes that are present
     * @param ownAddress {@code ip:port} at which this node takes the requests of others
     */
    SuspectGossip(
            PeerClient client,
            CrashGuard guard,
            RandomGenerator random,
            CallCounters counters,
            Supplier<List<EndpointRecord>> nodes,
            String ownAddress,
            String zone) {
        this.client = client;
        this.guard = guard;
        this.random = random;
        this.counters = counters;
        this.nodes = nodes;
        this.ownAddress = ownAddress;
        this.zone = zone;
    }

    /** Pushes what this node saw since the last push. */
    void pushNews() {
        push(guard.exportUnsent());
    }

    private void push(List<Suspect> suspects) {
        if (suspects.isEmpty()) {
            return;
        }
        byte[] body = SuspectCodec.encode(suspects);
        List<EndpointRecord> others = others();
        for (EndpointRecord node : others.subList(0, Math.min(MAX_DIRECT_PUSHES, others.size()))) {
            client.request(
                    "POST",
                    PATH,
                    node.callAddress(),
                    body,
                    PeerClient.TIMEOUT_MILLIS,
                    answer ->
                            counters.increment(answer == null ? "suspects_lost" : "suspects_sent"));
        }
    }

    /** Returns all other nodes, in random order. */
    private List<EndpointRecord> others() {
        List<EndpointRecord> others = new ArrayList<>();
        for (EndpointRecord node : nodes.get()) {
            if (!node.callAddress().equals(ownAddress)) {
                others.add(node);
            }
        }
        Collections.shuffle(others, new Random(random.nextLong()));
        return others;
    }

    /** Asks some nodes for what they know, the first time that this node knows of others. */
    void askAtStart() {
        if (asked) {
            return;
        }
        asked = true;
        List<EndpointRecord> others = others();
        List<EndpointRecord> chosen = new ArrayList<>();
        others.stream().filter(this::sameZone).limit(ASKED_AT_START).forEach(chosen::add);
        others.stream().filter(n -> !sameZone(n)).limit(ASKED_AT_START).forEach(chosen::add);
        answersDue = chosen.size();
        informed = chosen.isEmpty();
        for (EndpointRecord node : chosen) {
            pull(node.callAddress());
        }
    }

    private boolean sameZone(EndpointRecord node) {
        return node.zone().equals(zone);
    }

    /** Returns whether a node that was asked at the start has answered, or none can. */
    boolean informed() {
        return informed;
    }

    /** Compares the hash in a peer's digest with what this node knows. */
    void onDigest(long hash, String address) {
        if (hash != 0 && hash != guard.hash()) {
            pull(address);
        }
    }

    private void pull(String address) {
        client.request(
                "GET",
                PATH,
                address,
                new byte[0],
                PeerClient.TIMEOUT_MILLIS,
                answer -> {
                    answersDue--;
                    informed |= answer != null || answersDue <= 0;
                    if (answer != null) {
                        merge(answer.body(), address);
                    }
                });
    }

    /** Handles a request of another node: a push, or a question for all that this node knows. */
    void handle(Exchange exchange) {
        if (exchange.method().equals("GET")) {
            exchange.answer(Answer.bytes(OK, SuspectCodec.encode(guard.export())));
            return;
        }
        List<Suspect> news = merge(exchange.body(), "push");
        exchange.answer(Answer.of(news == null ? BAD_REQUEST : OK));
        if (news != null && nodes.get().size() > MAX_DIRECT_PUSHES) {
            push(news);
        }
    }

    /** Returns the suspects that were news to this node, or null if the bytes are malformed. */
    private @Nullable List<Suspect> merge(byte[] body, String source) {
        try {
            List<Suspect> news = new ArrayList<>();
            for (Suspect suspect : SuspectCodec.decode(body)) {
                if (guard.merge(List.of(suspect))) {
                    news.add(suspect);
                }
            }
            return news;
        } catch (IOException e) {
            log.warn("rejected malformed suspects from={} cause=\"{}\"", source, e.getMessage());
            return null;
        }
    }
}
