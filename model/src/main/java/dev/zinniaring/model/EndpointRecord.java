package dev.zinniaring.model;

/**
 * Replicated record of one backend server. Only the backend server's own node writes it. Of two
 * records of the same server, the one with the higher (incarnation, sequence) is newer.
 *
 * @param serverId id of the backend server, unique in the mesh
 * @param service name of the service that the backend server provides
 * @param nodeId id of the backend server's node
 * @param zone availability zone of the backend server and its node
 * @param callAddress {@code ip:port} at which that node accepts calls
 * @param incarnation start time of the node process that wrote the record, in milliseconds since
 *     the epoch
 * @param sequence number of times the node has written this record, from 1
 * @param slots number of calls that the backend server runs concurrently
 * @param connections number of connections that the backend server accepts
 * @param state whether the backend server accepts calls
 * @param warmUpMillis time from the backend server's start until it can take its full share of
 *     calls, in milliseconds
 * @param version version of the backend server's software, empty if unknown
 */
public record EndpointRecord(
        String serverId,
        String service,
        String nodeId,
        String zone,
        String callAddress,
        long incarnation,
        long sequence,
        int slots,
        int connections,
        EndpointState state,
        int warmUpMillis,
        String version) {

    /** Creates the record of a backend server whose version is unknown. */
    public EndpointRecord(
            String serverId,
            String service,
            String nodeId,
            String zone,
            String callAddress,
            long incarnation,
            long sequence,
            int slots,
            int connections,
            EndpointState state,
            int warmUpMillis) {
        this(
                serverId,
                service,
                nodeId,
                zone,
                callAddress,
                incarnation,
                sequence,
                slots,
                connections,
                state,
                warmUpMillis,
                "");
    }

    /** Returns whether this record replaces {@code other}, a record of the same server. */
    public boolean newerThan(EndpointRecord other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }
}
