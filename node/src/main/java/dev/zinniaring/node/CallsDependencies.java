package dev.zinniaring.node;

import dev.zinniaring.admission.CrashGuard;
import dev.zinniaring.admission.RetryPolicy;
import dev.zinniaring.distribution.Endpoints;
import dev.zinniaring.distribution.Versions;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.Scheduler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Dependencies of {@link CallsPlugin}.
 *
 * @param settings the node's settings
 * @param ports the ports of both listeners
 * @param versions the active configuration
 * @param endpoints the backend servers of the mesh
 * @param servers the local backend servers
 * @param guard holds back requests that crash servers
 * @param propagateSuspects sends new records of suspect requests to other nodes
 * @param retryPolicy decides on retries
 * @param scheduler runs timers
 * @param registry registry for the metrics
 * @param clock the clock
 */
record CallsDependencies(
        NodeSettings settings,
        Ports ports,
        Versions versions,
        Endpoints endpoints,
        LocalServers servers,
        CrashGuard guard,
        Runnable propagateSuspects,
        RetryPolicy retryPolicy,
        Scheduler scheduler,
        PrometheusRegistry registry,
        Clock clock) {}
