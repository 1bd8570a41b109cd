package dev.zinniaring.node;

import dev.zinniaring.admission.BudgetedRetry;
import dev.zinniaring.admission.RetryPolicy;
import dev.zinniaring.distribution.DistributionTimings;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.membership.GossipTimings;
import dev.zinniaring.store.ObjectStore;
import dev.zinniaring.store.TableService;
import dev.zinniaring.transport.LinkConditions;
import dev.zinniaring.transport.TransportLimits;
import java.time.Duration;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/** Builds a {@link Node}. */
public final class NodeBuilder {
    /** A retry with less time left until the deadline is not expected to complete. */
    private static final long MIN_RETRY_NANOS = Duration.ofMillis(2).toNanos();

    private final NodeSettings settings;
    private Clock clock = Clock.system();
    private long seed = System.identityHashCode(this);
    private @Nullable TableService tables;
    private @Nullable ObjectStore objects;
    private @Nullable AdmissionFactory admissions;
    private RetryPolicy retryPolicy = new BudgetedRetry(MIN_RETRY_NANOS);
    private LinkConditions conditions = new LinkConditions();
    private TransportLimits transportLimits = TransportLimits.defaults();
    private GossipTimings gossipTimings = GossipTimings.defaults();
    private DistributionTimings timings = DistributionTimings.defaults();

    NodeBuilder(NodeSettings settings) {
        this.settings = settings;
    }

    /** Sets the clock. */
    public NodeBuilder clock(Clock source) {
        clock = source;
        return this;
    }

    /** Sets the seed of the node's random number generators. */
    public NodeBuilder seed(long value) {
        seed = value;
        return this;
    }

    /** Uses an in-process platform instead of the one named in the settings. */
    public NodeBuilder platform(TableService tableService, ObjectStore objectStore) {
        tables = tableService;
        objects = objectStore;
        return this;
    }

    /** Sets the factory of admission controllers; the default factory admits by rank. */
    public NodeBuilder admissions(AdmissionFactory factory) {
        admissions = factory;
        return this;
    }

    /** Sets the retry policy; the default retries within the budget of the pool. */
    public NodeBuilder retryPolicy(RetryPolicy policy) {
        retryPolicy = policy;
        return this;
    }

    /** Sets the link conditions that experiments impose on control messages. */
    public NodeBuilder conditions(LinkConditions links) {
        conditions = links;
        return this;
    }

    /** Sets the limits of the control network. */
    public NodeBuilder transportLimits(TransportLimits limits) {
        transportLimits = limits;
        return this;
    }

    /** Sets the timings of the membership protocol. */
    public NodeBuilder gossipTimings(GossipTimings periods) {
        gossipTimings = periods;
        return this;
    }

    /** Sets the timings of the distribution of versions and endpoints. */
    public NodeBuilder timings(DistributionTimings periods) {
        timings = periods;
        return this;
    }

    /**
     * Returns a node that is not started yet. Its ports are already bound, so that their numbers
     * are known.
     *
     * @throws KernelException if a port is in use
     */
    public Node build() throws KernelException {
        Ports ports = Ports.open(settings);
        AdmissionFactory factory = admissions;
        try {
            return new Node(
                    new NodeDependencies(
                            settings,
                            ports,
                            clock,
                            new Random(seed),
                            tables,
                            objects,
                            factory == null ? AdmissionFactory.ranked(clock) : factory,
                            retryPolicy,
                            conditions,
                            transportLimits,
                            gossipTimings,
                            timings));
        } catch (RuntimeException e) {
            ports.close();
            throw e;
        }
    }
}
