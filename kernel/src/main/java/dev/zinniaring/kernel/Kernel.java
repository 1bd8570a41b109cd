package dev.zinniaring.kernel;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the plug-ins of a process: starts them in order, drains and stops them in reverse order,
 * and collects their state for the state dump.
 *
 * <pre>{@code
 * Kernel kernel = Kernel.of(plugins, Clock.system());
 * kernel.start();
 * kernel.shutDown(Duration.ofSeconds(30));
 * }</pre>
 */
public final class Kernel {
    private static final Logger log = LoggerFactory.getLogger(Kernel.class);

    private final List<Plugin> plugins;
    private final Clock clock;
    private final List<Plugin> started = new ArrayList<>();

    private Kernel(List<Plugin> plugins, Clock clock) {
        this.plugins = plugins;
        this.clock = clock;
    }

    /** Returns a kernel for the given plug-ins, which may be in any order. */
    public static Kernel of(Collection<Plugin> plugins, Clock clock) {
        List<Plugin> sorted = new ArrayList<>(plugins);
        sorted.sort(Comparator.comparingInt(Plugin::order).thenComparing(Plugin::name));
        return new Kernel(List.copyOf(sorted), clock);
    }

    /**
     * Starts all plug-ins by ascending {@link Plugin#order()}, then by name.
     *
     * @throws KernelException if one fails to start; those already started are stopped first
     */
    public synchronized void start() throws KernelException {
        for (Plugin plugin : plugins) {
            startOne(plugin);
        }
        log.info("started {} plug-ins", started.size());
    }

    private void startOne(Plugin plugin) throws KernelException {
        try {
            plugin.start();
            started.add(plugin);
        } catch (KernelException | RuntimeException e) {
            stop();
            throw new KernelException(
                    "plug-in " + plugin.name() + " failed to start: " + e.getMessage(), e);
        }
    }

    /** Drains all started plug-ins, within {@code limit} in total, then stops them. */
    public synchronized void shutDown(Duration limit) {
        long startNanos = clock.nanos();
        for (int i = started.size() - 1; i >= 0; i--) {
            Duration left = limit.minus(clock.since(startNanos));
            started.get(i).drain(left.isNegative() ? Duration.ZERO : left);
        }
        stop();
    }

    /** Stops all started plug-ins without draining them. */
    public synchronized void stop() {
        for (int i = started.size() - 1; i >= 0; i--) {
            stopOne(started.get(i));
        }
        started.clear();
    }

    private static void stopOne(Plugin plugin) {
        try {
            plugin.stop();
        } catch (RuntimeException e) {
            log.warn("plug-in {} failed to stop", plugin.name(), e);
        }
    }

    /** Returns the state of all plug-ins by name, in start order. */
    public Map<String, Object> state() {
        Map<String, Object> states = new LinkedHashMap<>();
        for (Plugin plugin : plugins) {
            states.put(plugin.name(), plugin.state());
        }
        return states;
    }
}
