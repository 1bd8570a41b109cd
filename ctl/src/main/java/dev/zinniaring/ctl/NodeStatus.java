package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What one node says of itself. Fields that its answer lacks have the defaults below.
 *
 * @param address its admin address
 * @param error why it could not be asked, empty if it answered
 * @param node its id, its address if unknown
 * @param zone its availability zone, empty if unknown
 * @param version the version in force there, 0 if none
 * @param ready whether it takes calls
 * @param waitingFor what it lacks until it can serve, empty if nothing
 * @param refusedVersion the version that it refused, 0 if none
 * @param members number of members that it knows, 0 if unknown
 * @param memberIds ids of the members that it knows, as far as it names them
 * @param adminAddresses admin addresses of the members that it knows, by node id
 */
record NodeStatus(
        String address,
        String error,
        String node,
        String zone,
        long version,
        boolean ready,
        String waitingFor,
        long refusedVersion,
        int members,
        Set<String> memberIds,
        Map<String, String> adminAddresses) {

    static NodeStatus unreachable(String address, String error) {
        return new NodeStatus(address, error, address, "", 0, false, "", 0, 0, Set.of(), Map.of());
    }

    /** Reads an answer; {@code members} may be a number, or ids, also grouped by zone. */
    static NodeStatus of(String address, JsonNode answer) {
        Map<String, String> addresses = new TreeMap<>();
        answer.path("adminAddresses")
                .fields()
                .forEachRemaining(
                        entry -> addresses.put(entry.getKey(), entry.getValue().asText()));
        Set<String> ids = new TreeSet<>(addresses.keySet());
        collectTexts(answer.path("members"), ids);
        return new NodeStatus(
                address,
                "",
                answer.path("node").asText(address),
                answer.path("zone").asText(""),
                answer.path("version").asLong(0),
                answer.path("ready").asBoolean(false),
                waitingFor(answer),
                answer.path("refusedVersion").asLong(0),
                Math.max(ids.size(), answer.path("members").asInt(0)),
                ids,
                addresses);
    }

    private static void collectTexts(JsonNode value, Set<String> texts) {
        if (value.isTextual()) {
            texts.add(value.textValue());
        }
        value.forEach(child -> collectTexts(child, texts));
    }

    /** Returns what a node lacks; it answers 0 for the version if it waits for none. */
    private static String waitingFor(JsonNode answer) {
        long version = answer.path("waitingFor").asLong(0);
        return version > 0 ? "version " + version : answer.path("waitingReason").asText("");
    }

    boolean reachable() {
        return error.isEmpty();
    }

    ObjectNode toJson() {
        ObjectNode json = Console.object().put("node", node).put("address", address);
        if (!reachable()) {
            return json.put("error", error);
        }
        json.put("zone", zone).put("version", version).put("ready", ready).put("members", members);
        json.put("waitingFor", waitingFor.isEmpty() ? null : waitingFor);
        return json.put("refusedVersion", refusedVersion == 0 ? null : refusedVersion);
    }

    @Override
    public String toString() {
        if (!reachable()) {
            return node + "  unreachable: " + error;
        }
        return node
                + "  zone "
                + zone
                + "  version "
                + version
                + (ready ? "  ready" : "  not ready")
                + (waitingFor.isEmpty() ? "" : "  waits for " + waitingFor)
                + (refusedVersion == 0 ? "" : "  refused version " + refusedVersion);
    }
}
