package dev.zinniaring.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.Test;

class ClientDisconnectWatchTest {
    /** Stops the watch while the watch reads a byte. */
    private static final class StoppingEndPoint extends ByteArrayEndPoint {
        private final ClientDisconnectWatch watch =
                new ClientDisconnectWatch(this, new Cancellation());
        private final CompletableFuture<Boolean> closes = new CompletableFuture<>();

        StoppingEndPoint() {
            super((Scheduler) null, 0);
        }

        @Override
        public int fill(ByteBuffer buffer) throws IOException {
            Thread stopper = new Thread(() -> closes.complete(watch.stop()));
            stopper.start();
            try {
                stopper.join(100);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return super.fill(buffer);
        }
    }

    /** Guards against a request without its first byte, after a call that just ended. */
    @Test
    void aConnectionWhoseNextRequestLostAByteIsClosedAlsoIfTheCallEndsMeanwhile() throws Exception {
        StoppingEndPoint client = new StoppingEndPoint();
        client.watch.start();

        client.addInput("GET / HTTP/1.1\r\n");

        assertThat(client.closes.get(10, TimeUnit.SECONDS)).isTrue();
    }
}
