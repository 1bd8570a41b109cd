package dev.zinniaring.node;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.distribution.Endpoints;
import dev.zinniaring.distribution.Versions;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * What {@link CallsPlugin} works with.
 *
 * @param settings the node's settings
 * @param versions the configuration in force
 * @param endpoints the backend servers of the mesh
 * @param servers the backend servers beside this node
 * @param guard holds back requests that crash servers
 * @param scheduler runs timers
 * @param registry takes the counters
 * @param clock the clock
 */
record CallsParts(
        NodeSettings settings,
        Versions versions,
        Endpoints endpoints,
        LocalServers servers,
        CrashGuard guard,
        Scheduler scheduler,
        PrometheusRegistry registry,
        Clock clock) {}
