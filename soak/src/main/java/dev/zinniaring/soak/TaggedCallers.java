package dev.zinniaring.soak;

import dev.zinniaring.soak.TaggedCalls.Target;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Generates calls on kept and new connections, several at a time on each node. Some callers leave
 * early, and some idempotent calls come again under their ids, at any node, also before an answer.
 */
final class TaggedCallers implements Load {
    private static final long PERIOD_MILLIS_PER_NODE = 240;
    private static final int MIN_DEADLINE_MILLIS = 250;
    private static final int MAX_DEADLINE_MILLIS = 1_000;
    private static final int CALM_DEADLINE_MILLIS = 1_500;
    private static final int LEAVES_ONE_IN = 8;
    private static final int MAX_LEAVES_AFTER_MILLIS = 150;
    private static final int COMES_AGAIN_ONE_IN = 2;
    private static final int MAX_COMES_AGAIN = 3;

    private final List<InetSocketAddress> nodes;
    private final Stutter stutter;
    private final ScheduledExecutorService timer;
    private final SplittableRandom random;
    private @Nullable ScheduledFuture<?> sending;
    private int sent;

    TaggedCallers(
            List<InetSocketAddress> nodes,
            Stutter stutter,
            ScheduledExecutorService timer,
            SplittableRandom random) {
        this.nodes = nodes;
        this.stutter = stutter;
        this.timer = timer;
        this.random = random;
    }

    @Override
    public void start() {
        long periodMillis = Math.max(1, PERIOD_MILLIS_PER_NODE / nodes.size());
        sending =
                timer.scheduleAtFixedRate(
                        this::send, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() throws InterruptedException {
        ScheduledFuture<?> scheduled = sending;
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        for (int i = 0; stutter.calls().inFlight() > 0 && i < 50; i++) {
            TimeUnit.MILLISECONDS.sleep(100);
        }
        stutter.calls().stop();
    }

    private void send() {
        sent++;
        Route route = Route.values()[sent % Route.values().length];
        boolean comesAgain = route.idempotent() && random.nextInt(COMES_AGAIN_ONE_IN) == 0;
        send(route, "c-" + sent, comesAgain ? random.nextInt(1, MAX_COMES_AGAIN + 1) : 0);
    }

    /** Sends a call; it comes again the given number of times, half of them before its answer. */
    private void send(Route route, String id, int comesAgain) {
        int node = random.nextInt(nodes.size());
        boolean calm = stutter.stopped();
        long deadlineMillis =
                calm
                        ? CALM_DEADLINE_MILLIS
                        : random.nextInt(MIN_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS + 1);
        Target target =
                new Target(node, nodes.get(node), route, id, deadlineMillis, random.nextBoolean());
        boolean leaves = !calm && random.nextInt(LEAVES_ONE_IN) == 0;
        long leavesAfterMillis = random.nextInt(1, MAX_LEAVES_AFTER_MILLIS + 1);
        boolean again = comesAgain > 0;
        boolean waits = random.nextBoolean();
        TaggedCalls.Handle call =
                stutter.calls()
                        .send(
                                target,
                                status -> {
                                    if (again && waits && !timer.isShutdown()) {
                                        timer.execute(() -> send(route, id, comesAgain - 1));
                                    }
                                });
        if (again && !waits) {
            timer.schedule(
                    () -> send(route, id, comesAgain - 1),
                    leavesAfterMillis,
                    TimeUnit.MILLISECONDS);
        }
        if (leaves) {
            timer.schedule(call::cancel, leavesAfterMillis, TimeUnit.MILLISECONDS);
        }
    }
}
