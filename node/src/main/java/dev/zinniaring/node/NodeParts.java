package dev.zinniaring.node;

import dev.zinniaring.admission.RetryPolicy;
import dev.zinniaring.distribution.Timings;
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
 * What the component of a node is made from.
 *
 * @param settings the settings
 * @param ports the ports that were taken
 * @param clock the clock
 * @param random seeds the random choices of the parts
 * @param tables the table service, or null to reach it as the settings say
 * @param objects the object store, or null to reach it as the settings say
 * @param admissions makes admission controllers
 * @param retryPolicy decides on retries
 * @param conditions how links behave in experiments
 * @param transportLimits bounds of the network
 * @param gossipTimings periods of the membership
 * @param timings periods of the distribution
 */
record NodeParts(
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
        Timings timings) {
    /** Returns the seeds; a node without any is its own. */
    List<InetSocketAddress> seeds() {
        return settings.seeds().isEmpty() ? List.of(ports.control()) : settings.seeds();
    }
}
