package dev.zinniaring.transport;

import java.util.List;
import java.util.Map;

/**
 * The transport's part of the state dump.
 *
 * @param nodeId id of this node
 * @param zone availability zone of this node
 * @param controlAddress address under which peers reach this node
 * @param incarnation start time in milliseconds since the epoch
 * @param links the current links
 * @param faults counts of the faults that have occurred, by name
 * @param traffic messages and bytes by direction and scope
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
     * The state of a link.
     *
     * @param nodeId id of the peer, empty until its Hello message arrives
     * @param zone availability zone of the peer, empty until its Hello message arrives
     * @param outgoing whether this node opened it
     * @param phase phase of the link, in lower case
     * @param queuedFrames number of frames in the send queue
     * @param queuedBytes number of bytes in the send queue
     */
    public record LinkState(
            String nodeId,
            String zone,
            boolean outgoing,
            String phase,
            int queuedFrames,
            long queuedBytes) {}
}
