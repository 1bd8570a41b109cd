package dev.zinniaring.bench;

import dev.zinniaring.node.Node;
import dev.zinniaring.standins.LoadGenerator;
import dev.zinniaring.standins.LoadGeneratorBuilder;
import dev.zinniaring.standins.LoadResult;
import dev.zinniaring.standins.LoadStream;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** A load of fixed length that runs in the background of an experiment. */
final class BackgroundLoad {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final CompletableFuture<LoadResult> result = new CompletableFuture<>();

    private BackgroundLoad() {}

    /** Starts streams of calls that are sent to the entry nodes in turn. */
    static BackgroundLoad start(
            List<Node> entries,
            List<LoadStream> streams,
            Duration window,
            String callIdPrefix,
            long seed) {
        LoadGeneratorBuilder builder =
                LoadGenerator.builder()
                        .duration(window)
                        .timeout(TIMEOUT)
                        .seed(seed)
                        .callIdPrefix(callIdPrefix);
        entries.forEach(node -> builder.target(CallMesh.reachable(node.callAddress())));
        streams.forEach(builder::stream);
        BackgroundLoad load = new BackgroundLoad();
        Thread thread = new Thread(() -> load.run(builder.build()), "load-" + callIdPrefix);
        thread.setDaemon(true);
        thread.start();
        return load;
    }

    private void run(LoadGenerator generator) {
        try {
            result.complete(generator.run());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            result.completeExceptionally(e);
        }
    }

    /** Returns whether all calls have completed. */
    boolean isFinished() {
        return result.isDone();
    }

    /** Waits until all calls have completed and returns the result. */
    LoadResult result() throws ExperimentException {
        try {
            return result.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ExperimentException("interrupted", e);
        } catch (ExecutionException e) {
            throw new ExperimentException("load generator failed", e);
        }
    }
}
