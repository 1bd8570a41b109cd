package dev.zinniaring.node;

import dev.zinniaring.admission.RetryPolicy;
import dev.zinniaring.distribution.DistributionTimings;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.membership.GossipTimings;
import dev.zinniaring.store.ObjectStore;
import dev.zinniaring.store.TableService;
import dev.zinniaring.transport.LinkConditions;
import dev.zinniaring.transport.TransportLimits;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Inputs from which the Dagger component of a node is created.
 *
 * @param settings the settings
 * @param ports the reserved ports
 * @param clock the clock
 * @param random seeds the random number generators of the components
 * @param tables the table service, or null to use the URL in the settings
 * @param objects the object store, or null to use the URL in the settings
 * @param admissions creates admission controllers
 * @param retryPolicy decides on retries
 * @param conditions link conditions that experiments impose
 * @param transportLimits limits of the network
 * @param gossipTimings timings of the membership protocol
 * @param timings timings of the distribution
 */
record NodeDependencies(
        NodeSettings settings,
        Ports ports,
        Clock clock,
        RandomGenerator random,
        @Nullable TableService tables,
        @Nullable ObjectStore objects,
        AdmissionFactory admissions,
        RetryPolicy retryPolicy,
        LinkConditions conditions,
        TransportLimits transportLimits,
        GossipTimings gossipTimings,
        DistributionTimings timings) {
    /** Returns the seeds; a node without configured seeds is its own seed. */
    List<InetSocketAddress> seeds() {
        return settings.seeds().isEmpty() ? List.of(ports.control()) : settings.seeds();
    }
}
