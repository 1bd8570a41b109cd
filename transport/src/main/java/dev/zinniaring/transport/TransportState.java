package dev.zinniaring.transport;

import java.util.List;
import java.util.Map;

/**
 * The transport's part of the state dump.
 *
 * @param nodeId this node
 * @param zone its availability zone
 * @param controlAddress where others reach it
 * @param incarnation start time in milliseconds since the epoch
 * @param links the links at present
 * @param faults counts of what was refused, dropped or given up
 * @param traffic totals by direction and scope
 */
public record TransportState(
        String nodeId,
        String zone,
        String controlAddress,
        long incarnation,
        List<LinkState> links,
        Map<String, Long> faults,
        Map<String, TrafficCounters.Total> traffic) {
    /**
     * One link.
     *
     * @param nodeId the peer, empty before its greeting
     * @param zone the peer's availability zone, empty before its greeting
     * @param outgoing whether this node opened it
     * @param phase how far it is
     * @param queuedFrames frames that wait
     * @param queuedBytes bytes that wait
     */
    public record LinkState(
            String nodeId,
            String zone,
            boolean outgoing,
            String phase,
            int queuedFrames,
            long queuedBytes) {}
}
