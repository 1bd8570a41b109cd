package dev.zinniaring.soak;

import dev.zinniaring.calls.Addresses;
import dev.zinniaring.calls.HeaderNames;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.NamedThreads;
import dev.zinniaring.platform.PlatformHeaders;
import dev.zinniaring.soak.Observations.Outcome;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ProtocolException;
import java.net.SocketTimeoutException;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Makes calls, of callers and of backend servers, and records the answers that they get with the
 * tags of their runs. Thread-safe.
 */
final class TaggedCalls {
    private static final HeaderNames NAMES = PlatformHeaders.names();

    /** Callers keep reading for this long after their deadline. */
    private static final long READ_GRACE_MILLIS = 100;

    private final Clock clock;
    private final Observations observations;
    private final ExecutorService threads =
            Executors.newCachedThreadPool(NamedThreads.daemon("tagged-calls"));
    private final Map<InetSocketAddress, Deque<CallConnection>> idle = new ConcurrentHashMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();

    TaggedCalls(Clock clock, Observations observations) {
        this.clock = clock;
        this.observations = observations;
    }

    /**
     * What to call.
     *
     * @param node index of the node that takes the call, which listens at the address
     * @param keptConnection whether to use a connection that was used before, if there is one
     */
    record Target(
            int node,
            InetSocketAddress address,
            Route route,
            String id,
            long deadlineMillis,
            boolean keptConnection) {}

    /** A call in flight. */
    interface Handle {
        /** Closes the connection of the call. */
        void cancel();
    }

    /** Sends a call; {@code done} receives the status of its answer, or 0 if there is none. */
    Handle send(Target target, IntConsumer done) {
        if (threads.isShutdown()) {
            done.accept(0);
            return () -> {};
        }
        SentCall call = new SentCall(target, sent.incrementAndGet(), done);
        inFlight.incrementAndGet();
        threads.execute(call::run);
        return call;
    }

    int inFlight() {
        return inFlight.get();
    }

    void stop() {
        threads.shutdownNow();
        idle.values().forEach(kept -> kept.forEach(TaggedCalls::close));
    }

    private static void close(CallConnection connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // Nothing depends on how a connection ends that is not used any more.
        }
    }

    private Deque<CallConnection> idle(InetSocketAddress node) {
        return idle.computeIfAbsent(node, address -> new ConcurrentLinkedDeque<>());
    }

    private final class SentCall implements Handle {
        private final Target target;
        private final String send;
        private final int number;
        private final IntConsumer done;
        private final long sentMillis = observations.nowMillis();
        private volatile CallConnection connection;
        private volatile boolean cancelled;
        private volatile boolean answered;

        SentCall(Target target, int number, IntConsumer done) {
            this.target = target;
            this.number = number;
            this.send = RunTag.send(target.id(), number);
            this.done = done;
            this.connection = new CallConnection(target.address(), clock);
        }

        @Override
        public void cancel() {
            if (!answered) {
                cancelled = true;
                close(connection);
            }
        }

        private void run() {
            int status = 0;
            Outcome outcome;
            try {
                connect();
                CallConnection.Received answer =
                        connection.exchange(request(), target.deadlineMillis() + READ_GRACE_MILLIS);
                status = answer.status();
                outcome = Outcome.ANSWERED;
                received(answer);
            } catch (IOException e) {
                outcome = outcome(e);
                close(connection);
            }
            end(status, outcome);
        }

        private void connect() throws IOException {
            CallConnection kept = target.keptConnection() ? kept() : null;
            if (kept == null) {
                connection.open();
            } else {
                connection = kept;
            }
            if (cancelled) {
                close(connection);
            }
        }

        private @Nullable CallConnection kept() {
            Deque<CallConnection> pooled = idle(target.address());
            for (CallConnection next = pooled.poll(); next != null; next = pooled.poll()) {
                try {
                    if (next.reusable()) {
                        return next;
                    }
                } catch (ProtocolException e) {
                    observations.finding("MIXED stray bytes: " + e.getMessage());
                } catch (IOException e) {
                    // The node was killed or has reset the connection.
                }
                close(next);
            }
            return null;
        }

        private String request() {
            String method = target.route().idempotent() ? "GET" : "POST";
            return "%s %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %d\r\n%s\r\n"
                    .formatted(
                            method,
                            target.route().prefix(),
                            target.id(),
                            Route.HOST,
                            NAMES.callId(),
                            target.id(),
                            NAMES.deadlineMillis(),
                            target.deadlineMillis(),
                            RunTag.SEND_NUMBER,
                            number,
                            target.route().idempotent() ? "" : "Content-Length: 0\r\n");
        }

        private void received(CallConnection.Received answer) {
            answered = true;
            observations.add(
                    new Observations.ReceivedAnswer(
                            send,
                            target.id(),
                            answer.status(),
                            answer.header(RunTag.HEADER),
                            answer.header(NAMES.callId()),
                            answer.body()));
            if (answer.closes()) {
                close(connection);
            } else {
                idle(target.address()).push(connection);
            }
        }

        private Outcome outcome(IOException failure) {
            if (cancelled) {
                return Outcome.CALLER_LEFT;
            }
            if (failure instanceof ProtocolException) {
                observations.finding(
                        "MIXED no answer: %s at %s got a %s"
                                .formatted(
                                        send,
                                        Addresses.text(target.address()),
                                        failure.getMessage()));
            }
            if (failure instanceof ConnectException) {
                return Outcome.NO_CONNECTION;
            }
            return failure instanceof SocketTimeoutException ? Outcome.DEADLINE : Outcome.CUT;
        }

        private void end(int status, Outcome outcome) {
            observations.add(
                    new Observations.Call(
                            send,
                            target.node(),
                            target.route(),
                            sentMillis,
                            observations.nowMillis(),
                            sentMillis + target.deadlineMillis(),
                            status,
                            send,
                            outcome));
            inFlight.decrementAndGet();
            done.accept(status);
        }
    }
}
