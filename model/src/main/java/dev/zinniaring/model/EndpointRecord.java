package dev.zinniaring.model;

/**
 * What the mesh knows of one backend server. Only the node beside the backend server writes its
 * record. Of two records of one server, the one with the higher (incarnation, sequence) is newer.
 *
 * @param serverId unique in the mesh
 * @param service the service that it runs
 * @param nodeId the node beside it
 * @param zone the availability zone of both
 * @param callAddress {@code ip:port} at which that node takes calls
 * @param incarnation life of the node that wrote the record, its start in milliseconds since the
 *     epoch
 * @param sequence counts the node's writes of this record, from 1
 * @param slots calls that the server runs at once
 * @param connections connections that the server accepts
 * @param state what it can take
 * @param warmUpMillis time from its start until it can take its full share, in milliseconds
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
        int warmUpMillis) {

    /** Returns whether this record replaces {@code other}, a record of the same server. */
    public boolean newerThan(EndpointRecord other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }
}
