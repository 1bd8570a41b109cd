package dev.zinniaring.transport;

import java.net.InetSocketAddress;

/**
 * How to reach a node's control address.
 *
 * @param nodeId unique in the mesh
 * @param zone its availability zone
 * @param controlAddress TCP and UDP address for control messages
 */
public record Peer(String nodeId, String zone, InetSocketAddress controlAddress) {}
