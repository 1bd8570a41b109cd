package dev.zinniaring.transport;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Collects what a {@link TcpNetwork} needs. */
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

    /** Sets the mesh, required; peers of other meshes are refused. */
    public TcpNetworkBuilder mesh(String name) {
        mesh = name;
        return this;
    }

    /** Sets this node's id, required and unique in the mesh. */
    public TcpNetworkBuilder nodeId(String id) {
        nodeId = id;
        return this;
    }

    /** Sets this node's availability zone, required. */
    public TcpNetworkBuilder zone(String name) {
        zone = name;
        return this;
    }

    /** Sets the start time of this process in milliseconds since the epoch, required. */
    public TcpNetworkBuilder incarnation(long startMillis) {
        incarnation = startMillis;
        return this;
    }

    /** Sets the address for TCP and UDP, by IP number; port 0 chooses a free one. */
    public TcpNetworkBuilder bind(InetSocketAddress address) {
        bind = address;
        return this;
    }

    /** Sets the clock; the VM's clock if not called. */
    public TcpNetworkBuilder clock(Clock newClock) {
        clock = newClock;
        return this;
    }

    /** Sets what runs the timers, required. */
    public TcpNetworkBuilder scheduler(Scheduler newScheduler) {
        scheduler = newScheduler;
        return this;
    }

    /** Sets the source of jitter, used by the I/O thread alone. */
    public TcpNetworkBuilder random(RandomGenerator newRandom) {
        random = newRandom;
        return this;
    }

    /** Sets how links behave in an experiment; perfect if not called. */
    public TcpNetworkBuilder conditions(LinkConditions newConditions) {
        conditions = newConditions;
        return this;
    }

    /** Sets bounds and deadlines; {@link TransportLimits#defaults()} if not called. */
    public TcpNetworkBuilder limits(TransportLimits newLimits) {
        limits = newLimits;
        return this;
    }

    /** Shares an I/O thread, which the caller closes after the networks that use it. */
    public TcpNetworkBuilder loop(IoLoop shared) {
        loop = shared;
        return this;
    }

    /**
     * Returns the network, not started.
     *
     * @throws IllegalArgumentException if a required value is missing
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
                    "bind must name the IP number that peers use, was " + bind);
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

    /** Names are ASCII, so that the size of a datagram follows from their length. */
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
