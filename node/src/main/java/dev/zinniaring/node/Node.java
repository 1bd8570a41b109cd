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
 * A node of the mesh: it follows the configuration, receives the announcements of the local backend
 * servers, and routes calls to backend servers in the whole mesh. Several nodes can run in one
 * process.
 *
 * <pre>{@code
 * Node node = Node.builder(settings).build();
 * node.start();
 * node.shutDown(Duration.ofSeconds(30));
 * }</pre>
 */
public final class Node implements AutoCloseable {
    private final NodeDependencies dependencies;
    private final NodeComponent component;
    private final Kernel kernel;

    Node(NodeDependencies dependencies) {
        this.dependencies = dependencies;
        this.component = DaggerNodeComponent.factory().create(dependencies);
        this.kernel = Kernel.of(component.plugins(), dependencies.clock());
        component.admin().attach(kernel);
    }

    /** Returns a builder for a node with the given settings. */
    public static NodeBuilder builder(NodeSettings settings) {
        return new NodeBuilder(settings);
    }

    /**
     * Starts the node. It serves calls once it has a configuration version, which may be later.
     *
     * @throws KernelException if a component does not start
     */
    public void start() throws KernelException {
        kernel.start();
    }

    /** Leaves the mesh, waits up to the limit for calls in flight to finish, and stops. */
    public void shutDown(Duration limit) {
        kernel.shutDown(limit);
    }

    /** Stops at once, as if the process had been killed: calls in flight are aborted. */
    @Override
    public void close() {
        kernel.stop();
        dependencies.ports().close();
    }

    /** Returns the settings that the node was built with. */
    public NodeSettings settings() {
        return dependencies.settings();
    }

    /** Returns the address at which callers send calls. */
    public InetSocketAddress callAddress() {
        return dependencies.ports().callAddress();
    }

    /** Returns the address at which other nodes send calls. */
    public InetSocketAddress peerCallAddress() {
        return dependencies.ports().peerCallAddress();
    }

    /** Returns the address for control messages; a list of seeds contains these addresses. */
    public InetSocketAddress controlAddress() {
        return dependencies.ports().control();
    }

    /** Returns the address for announcements of backend servers; valid after {@link #start()}. */
    public InetSocketAddress announceAddress() {
        return component.announcements().address();
    }

    /** Returns the address that serves metrics and state; valid after {@link #start()}. */
    public InetSocketAddress adminAddress() {
        return component.admin().address();
    }

    /** Returns whether a configuration version is active, so that the node can route calls. */
    public boolean ready() {
        return versions().active().isPresent();
    }

    /** Returns the active configuration. */
    public Versions versions() {
        return component.versions();
    }

    /** Returns the backend servers of the mesh that this node knows. */
    public Endpoints endpoints() {
        return component.endpoints();
    }

    /** Returns the members of the mesh that this node knows. */
    public Membership membership() {
        return component.membership();
    }

    /** Returns the control network, which gives access to its counters. */
    public TcpNetwork network() {
        return component.network();
    }

    /** Returns the metrics of this node. */
    public PrometheusRegistry registry() {
        return component.registry();
    }

    /** Returns the state of every plug-in by name. */
    public Map<String, Object> state() {
        return kernel.state();
    }
}
