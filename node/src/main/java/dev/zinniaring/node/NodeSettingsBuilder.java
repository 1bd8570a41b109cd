package dev.zinniaring.node;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/** Builds settings for embedded nodes, as used in tests and experiments. */
public final class NodeSettingsBuilder {
    private String mesh = "mesh";
    private String nodeId = "node";
    private String zone = "zone-a";
    private String region = "region-a";
    private InetSocketAddress callAddress = ephemeral();
    private InetSocketAddress peerCallAddress = ephemeral();
    private InetSocketAddress controlAddress = ephemeral();
    private InetSocketAddress announceAddress = ephemeral();
    private InetSocketAddress adminAddress = ephemeral();
    private List<InetSocketAddress> seeds = List.of();
    private NodeSettings.Platform platform =
            new NodeSettings.Platform("http://127.0.0.1:1", "http://127.0.0.1:1", 2_000);
    private Limits limits = Limits.DEFAULT;

    NodeSettingsBuilder() {}

    private static InetSocketAddress ephemeral() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Sets the name of the mesh that the node belongs to. */
    public NodeSettingsBuilder mesh(String name) {
        mesh = name;
        return this;
    }

    /** Sets the id of the node, which must be unique in the mesh. */
    public NodeSettingsBuilder nodeId(String id) {
        nodeId = id;
        return this;
    }

    /** Sets the availability zone. */
    public NodeSettingsBuilder zone(String name) {
        zone = name;
        return this;
    }

    /** Sets the region. */
    public NodeSettingsBuilder region(String name) {
        region = name;
        return this;
    }

    /** Sets the address at which callers send calls. */
    public NodeSettingsBuilder callAddress(InetSocketAddress address) {
        callAddress = address;
        return this;
    }

    /** Sets the address at which other nodes send calls. */
    public NodeSettingsBuilder peerCallAddress(InetSocketAddress address) {
        peerCallAddress = address;
        return this;
    }

    /** Sets the address for control messages. */
    public NodeSettingsBuilder controlAddress(InetSocketAddress address) {
        controlAddress = address;
        return this;
    }

    /** Sets the address at which local backend servers announce themselves. */
    public NodeSettingsBuilder announceAddress(InetSocketAddress address) {
        announceAddress = address;
        return this;
    }

    /** Sets the address that serves metrics and state. */
    public NodeSettingsBuilder adminAddress(InetSocketAddress address) {
        adminAddress = address;
        return this;
    }

    /** Sets the control addresses of the seeds; with an empty list the node is its own seed. */
    public NodeSettingsBuilder seeds(List<InetSocketAddress> addresses) {
        seeds = List.copyOf(addresses);
        return this;
    }

    /** Sets the access to the platform. */
    public NodeSettingsBuilder platform(NodeSettings.Platform access) {
        platform = access;
        return this;
    }

    /** Sets the limits of the call path. */
    public NodeSettingsBuilder limits(Limits bounds) {
        limits = bounds;
        return this;
    }

    /** Returns the settings. */
    public NodeSettings build() {
        return new NodeSettings(
                mesh,
                nodeId,
                zone,
                region,
                callAddress,
                peerCallAddress,
                controlAddress,
                announceAddress,
                adminAddress,
                seeds,
                platform,
                limits,
                new NodeSettings.Log(false));
    }
}
