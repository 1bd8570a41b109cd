package dev.zinniaring.kernel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class KernelTest {
    private final List<String> events = new ArrayList<>();
    private final ManualClock clock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    void startsInOrderAndStopsInReverse() throws KernelException {
        Kernel kernel = Kernel.of(List.of(plugin("calls", 50), plugin("transport", 20)), clock);
        kernel.start();
        kernel.shutDown(Duration.ofSeconds(1));
        assertThat(events)
                .containsExactly(
                        "start transport",
                        "start calls",
                        "drain calls",
                        "drain transport",
                        "stop calls",
                        "stop transport");
    }

    @Test
    void stopsStartedPluginsWhenALaterOneFailsToStart() {
        Plugin failing = new RecordingPlugin("admin", 70, new KernelException("port in use"));
        Kernel kernel = Kernel.of(List.of(plugin("transport", 20), failing), clock);
        assertThatThrownBy(kernel::start)
                .isInstanceOf(KernelException.class)
                .hasMessageContaining("admin")
                .hasMessageContaining("port in use");
        assertThat(events).containsExactly("start transport", "stop transport");
    }

    @Test
    void returnsTheStateOfAllPlugins() {
        Kernel kernel = Kernel.of(List.of(plugin("transport", 20)), clock);
        assertThat(kernel.state()).isEqualTo(Map.of("transport", "state of transport"));
    }

    private Plugin plugin(String name, int order) {
        return new RecordingPlugin(name, order, null);
    }

    private final class RecordingPlugin implements Plugin {
        private final String name;
        private final int order;
        private final KernelException failure;

        RecordingPlugin(String name, int order, KernelException failure) {
            this.name = name;
            this.order = order;
            this.failure = failure;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public int order() {
            return order;
        }

        @Override
        public void start() throws KernelException {
            if (failure != null) {
                throw failure;
            }
            events.add("start " + name);
        }

        @Override
        public void drain(Duration limit) {
            events.add("drain " + name);
        }

        @Override
        public void stop() {
            events.add("stop " + name);
        }

        @Override
        public Object state() {
            return "state of " + name;
        }
    }
}
