package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The status that a node reports. Fields missing from its response have the defaults below.
 *
 * @param address its admin address
 * @param error why the request failed, empty if the node responded
 * @param node its id, or its address if the id is unknown
 * @param zone its availability zone, empty if unknown
 * @param version the version that the node serves, 0 if none
 * @param ready whether the node accepts calls
 * @param waitingFor what the node is waiting for, empty if nothing
 * @param refusedVersion the version that the node refused, 0 if none
 * @param members number of members that the node knows, 0 if unknown
 * @param memberIds ids of the members that the node lists; may be fewer than {@code members}
 * @param adminAddresses admin addresses of the members that the node lists, by node id
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

    /**
     * Parses the response of a node. Its field {@code members} may be a number or a list of ids,
     * which may be grouped by zone.
     */
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

    /**
     * Returns what the node is waiting for, empty if nothing. The node reports version 0 if it is
     * not waiting for a version.
     */
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
