package dev.zinniaring.node;

import dev.zinniaring.distribution.Endpoints;
import dev.zinniaring.distribution.Versions;
import dev.zinniaring.kernel.Kernel;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.membership.Membership;
import dev.zinniaring.transport.TcpNetwork;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;

/**
 * A node of the mesh: it follows the configuration, takes the announcements of the backend servers
 * beside it and carries calls. Several can run in one process.
 *
 * <pre>{@code
 * Node node = Node.builder(settings).build();
 * node.start();
 * node.shutDown(Duration.ofSeconds(30));
 * }</pre>
 */
public final class Node implements AutoCloseable {
    private final NodeParts parts;
    private final NodeComponent component;
    private final Kernel kernel;

    Node(NodeParts parts) {
        this.parts = parts;
        this.component = DaggerNodeComponent.factory().create(parts);
        this.kernel = Kernel.of(component.plugins(), parts.clock());
        component.admin().attach(kernel);
    }

    /** Returns a builder of a node with the given settings. */
    public static NodeBuilder builder(NodeSettings settings) {
        return new NodeBuilder(settings);
    }

    /**
     * Starts the node. It carries calls once it has a version, which may be later.
     *
     * @throws KernelException if a part does not start
     */
    public void start() throws KernelException {
        kernel.start();
    }

    /** Leaves the mesh, lets calls in flight finish within the limit, and stops. */
    public void shutDown(Duration limit) {
        kernel.shutDown(limit);
    }

    /** Stops at once, as if the process ended: calls in flight are cut. */
    @Override
    public void close() {
        kernel.stop();
        parts.ports().close();
    }

    /** Returns the settings that the node was built with. */
    public NodeSettings settings() {
        return parts.settings();
    }

    /** Returns where callers send calls. */
    public InetSocketAddress callAddress() {
        return parts.ports().callAddress();
    }

    /** Returns where other nodes send calls. */
    public InetSocketAddress peerCallAddress() {
        return parts.ports().peerCallAddress();
    }

    /** Returns the address for control messages, which seeds are named by. */
    public InetSocketAddress controlAddress() {
        return parts.ports().control();
    }

    /** Returns where backend servers announce themselves; known after the start. */
    public InetSocketAddress announceAddress() {
        return component.announcements().address();
    }

    /** Returns where metrics and state are served; known after the start. */
    public InetSocketAddress adminAddress() {
        return component.admin().address();
    }

    /** Returns whether a version is in force, so that the node carries calls. */
    public boolean ready() {
        return versions().inForce().isPresent();
    }

    /** Returns the configuration in force. */
    public Versions versions() {
        return component.versions();
    }

    /** Returns the backend servers of the mesh, as this node knows them. */
    public Endpoints endpoints() {
        return component.endpoints();
    }

    /** Returns the members of the mesh, as this node knows them. */
    public Membership membership() {
        return component.membership();
    }

    /** Returns the control network, for its counters. */
    public TcpNetwork network() {
        return component.network();
    }

    /** Returns the metrics of this node. */
    public PrometheusRegistry registry() {
        return component.registry();
    }

    /** Returns the state of every part by name. */
    public Map<String, Object> state() {
        return kernel.state();
    }
}
