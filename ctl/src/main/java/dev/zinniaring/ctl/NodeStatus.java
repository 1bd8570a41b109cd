package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one node says of itself. Fields that its answer lacks have the defaults below.
 *
 * @param address its admin address
 * @param error why it could not be asked, empty if it answered
 * @param node its id, its address if unknown
 * @param zone its availability zone, empty if unknown
 * @param version the version in force there, 0 if none
 * @param ready whether it takes calls
 * @param waitingFor the version that it waits for, 0 if none
 * @param refusedVersion the version that it refused, 0 if none
 * @param members the members that it knows, 0 if unknown
 * @param adminAddresses admin addresses of the members that it knows, by node id
 */
record NodeStatus(
        String address,
        String error,
        String node,
        String zone,
        long version,
        boolean ready,
        long waitingFor,
        long refusedVersion,
        int members,
        Map<String, String> adminAddresses) {

    static NodeStatus unreachable(String address, String error) {
        return new NodeStatus(address, error, address, "", 0, false, 0, 0, 0, Map.of());
    }

    static NodeStatus of(String address, JsonNode answer) {
        Map<String, String> others = new TreeMap<>();
        answer.path("adminAddresses")
                .fields()
                .forEachRemaining(entry -> others.put(entry.getKey(), entry.getValue().asText()));
        return new NodeStatus(
                address,
                "",
                answer.path("node").asText(address),
                answer.path("zone").asText(""),
                answer.path("version").asLong(0),
                answer.path("ready").asBoolean(false),
                answer.path("waitingFor").asLong(0),
                answer.path("refusedVersion").asLong(0),
                answer.path("members").asInt(0),
                others);
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
        json.put("waitingFor", waitingFor == 0 ? null : waitingFor);
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
                + (waitingFor == 0 ? "" : "  waits for version " + waitingFor)
                + (refusedVersion == 0 ? "" : "  refused version " + refusedVersion);
    }
}
