package dev.zinniaring.transport;

import java.net.InetSocketAddress;

/**
 * A node of the mesh and the address of its control traffic.
 *
 * @param nodeId id of the node, unique in the mesh
 * @param zone availability zone of the node
 * @param controlAddress TCP and UDP address for control messages
 */
public record Peer(String nodeId, String zone, InetSocketAddress controlAddress) {}
