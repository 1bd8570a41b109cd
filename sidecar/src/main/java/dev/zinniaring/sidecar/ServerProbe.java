package dev.zinniaring.sidecar;

import dev.zinniaring.calls.Answer;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.calls.HttpSender;
import dev.zinniaring.calls.Outbound;
import dev.zinniaring.calls.SendFailure;
import dev.zinniaring.calls.SendListener;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks a backend server once who it is, after a restart of the node, so that it need not wait for
 * the next announcement. Health checks cost the server work, so that there is one only.
 */
final class ServerProbe {
    private static final Logger log = LoggerFactory.getLogger("node");
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int CONNECT_MILLIS = 250;
    private static final int MAX_IDLE_MILLIS = 1_000;
    private static final int OK = 200;

    private final HttpSender sender;
    private final HeaderNames names;
    private final InetSocketAddress address;
    private boolean asked;

    /** A backend server that is healthy by its own account. */
    record Found(String serverId, int slots) {}

    ServerProbe(HttpSender sender, HeaderNames names, InetSocketAddress address) {
        this.sender = sender;
        this.names = names;
        this.address = address;
    }

    /** Allows one more question. */
    void reset() {
        asked = false;
    }

    void ask(String healthPath, Consumer<Found> found) {
        if (asked) {
            return;
        }
        asked = true;
        Outbound request =
                new Outbound(
                        "GET",
                        healthPath,
                        new DefaultHttpHeaders(),
                        new byte[0],
                        TIMEOUT_MILLIS,
                        CONNECT_MILLIS,
                        MAX_IDLE_MILLIS,
                        "");
        sender.send(address, request, new Result(found));
    }

    private final class Result implements SendListener {
        private final Consumer<Found> found;

        Result(Consumer<Found> found) {
            this.found = found;
        }

        @Override
        public void answered(Answer answer) {
            String serverId = answer.headers().get(names.serverId());
            if (answer.status() == OK && serverId != null) {
                found.accept(new Found(serverId, slots(answer.headers().get(names.load(), ""))));
            } else {
                log.info("health check found no server status={}", answer.status());
            }
        }

        private static int slots(String load) {
            String[] parts = load.split(",", -1);
            try {
                return Math.max(1, Integer.parseInt(parts[parts.length - 1].trim()));
            } catch (NumberFormatException e) {
                return 1;
            }
        }

        @Override
        public void failed(SendFailure failure, String reason) {
            log.info("health check failed reason={}", reason);
        }
    }
}
