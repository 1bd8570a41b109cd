package dev.zinniaring.transport;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Builds a {@link TcpNetwork}. */
public final class TcpNetworkBuilder {
    private static final Pattern NAME = Pattern.compile("[!-~]{1," + Fields.MAX_NAME_CHARS + "}");

    private String mesh = "";
    private String nodeId = "";
    private String zone = "";
    private long incarnation;
    private InetSocketAddress bind = new InetSocketAddress("127.0.0.1", 0);
    private Clock clock = Clock.system();
    private @Nullable Scheduler scheduler;
    private RandomGenerator random = RandomGenerator.getDefault();
    private LinkConditions conditions = new LinkConditions();
    private TransportLimits limits = TransportLimits.defaults();
    private @Nullable IoLoop loop;

    TcpNetworkBuilder() {}

    /** Sets the name of the mesh. Required; peers of other meshes are refused. */
    public TcpNetworkBuilder mesh(String name) {
        mesh = name;
        return this;
    }

    /** Sets this node's id, which must be unique in the mesh. Required. */
    public TcpNetworkBuilder nodeId(String id) {
        nodeId = id;
        return this;
    }

    /** Sets this node's availability zone. Required. */
    public TcpNetworkBuilder zone(String name) {
        zone = name;
        return this;
    }

    /** Sets the start time of this process in milliseconds since the epoch. Required. */
    public TcpNetworkBuilder incarnation(long startMillis) {
        incarnation = startMillis;
        return this;
    }

    /** Sets the IP address and port for TCP and UDP. Port 0 selects a free port. */
    public TcpNetworkBuilder bind(InetSocketAddress address) {
        bind = address;
        return this;
    }

    /** Sets the clock. Defaults to the VM's clock. */
    public TcpNetworkBuilder clock(Clock newClock) {
        clock = newClock;
        return this;
    }

    /** Sets the scheduler that runs the timers. Required. */
    public TcpNetworkBuilder scheduler(Scheduler newScheduler) {
        scheduler = newScheduler;
        return this;
    }

    /** Sets the random generator for jitter and simulated loss. Only the I/O thread uses it. */
    public TcpNetworkBuilder random(RandomGenerator newRandom) {
        random = newRandom;
        return this;
    }

    /** Sets the simulated network conditions. Defaults to no delay, loss or partition. */
    public TcpNetworkBuilder conditions(LinkConditions newConditions) {
        conditions = newConditions;
        return this;
    }

    /** Sets limits and timeouts. Defaults to {@link TransportLimits#defaults()}. */
    public TcpNetworkBuilder limits(TransportLimits newLimits) {
        limits = newLimits;
        return this;
    }

    /**
     * Sets an I/O loop shared with other networks. The caller closes it after the networks that use
     * it. By default, the network starts and closes a loop of its own.
     */
    public TcpNetworkBuilder loop(IoLoop shared) {
        loop = shared;
        return this;
    }

    /**
     * Returns a new network that has not been started.
     *
     * @throws IllegalArgumentException if a required value is missing or a value is invalid
     */
    public TcpNetwork build() {
        requireName("mesh", mesh);
        requireName("nodeId", nodeId);
        requireName("zone", zone);
        if (incarnation <= 0) {
            throw new IllegalArgumentException("incarnation must be above 0, was " + incarnation);
        }
        if (bind.isUnresolved() || bind.getAddress().isAnyLocalAddress()) {
            throw new IllegalArgumentException(
                    "bind must be the IP address that peers connect to, was " + bind);
        }
        if (scheduler == null) {
            throw new IllegalArgumentException("scheduler must be set");
        }
        return new TcpNetwork(
                new NetworkSettings(
                        mesh,
                        nodeId,
                        zone,
                        incarnation,
                        bind,
                        clock,
                        scheduler,
                        random,
                        conditions,
                        limits,
                        loop));
    }

    /** Checks a name. Names are ASCII, so that their length bounds the size of a datagram. */
    private static void requireName(String field, String value) {
        if (!NAME.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    field
                            + " must have 1 to "
                            + Fields.MAX_NAME_CHARS
                            + " printable ASCII characters without spaces, was \""
                            + value
                            + "\"");
        }
    }
}
