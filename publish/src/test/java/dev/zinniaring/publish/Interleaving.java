package dev.zinniaring.publish;

import dev.zinniaring.store.Fault;
import dev.zinniaring.store.FaultRule;
import dev.zinniaring.store.MemoryPlatform;
import dev.zinniaring.store.RequestKind;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Runs operators concurrently such that only one at a time proceeds from one platform request to
 * its next. A seeded random generator selects the operator that proceeds, the fault of each
 * request, and when delayed writes take effect.
 */
final class Interleaving implements FaultRule {
    private static final Fault[] FAULTS = Fault.values();

    private final MemoryPlatform platform;
    private final SplittableRandom random;
    private final double faultShare;
    private final ThreadLocal<Integer> operator = new ThreadLocal<>();
    private final TreeMap<Integer, Boolean> granted = new TreeMap<>();
    private int running;

    Interleaving(MemoryPlatform platform, long seed, double faultShare) {
        this.platform = platform;
        this.random = new SplittableRandom(seed);
        this.faultShare = faultShare;
    }

    /** Runs all operators until they finish. */
    void run(List<Runnable> operators) throws InterruptedException {
        running = operators.size();
        platform.faults().rule(this);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < operators.size(); i++) {
            int id = i;
            threads.add(new Thread(() -> runOne(id, operators.get(id)), "operator-" + id));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        platform.faults().rule(FaultRule.NONE);
    }

    private void runOne(int id, Runnable body) {
        operator.set(id);
        try {
            body.run();
        } finally {
            yieldTurn();
        }
    }

    @Override
    public synchronized Fault next(RequestKind kind, String key) {
        int id = operator.get();
        granted.put(id, false);
        yieldTurn();
        while (!granted.get(id)) {
            awaitTurn();
        }
        granted.remove(id);
        if (random.nextInt(10) == 0) {
            platform.deliverDelayed();
        }
        return random.nextDouble() < faultShare
                ? FAULTS[random.nextInt(FAULTS.length)]
                : Fault.NONE;
    }

    private synchronized void yieldTurn() {
        running--;
        if (running > 0 || granted.isEmpty()) {
            return;
        }
        List<Integer> waiting = List.copyOf(granted.keySet());
        granted.put(waiting.get(random.nextInt(waiting.size())), true);
        running = 1;
        notifyAll();
    }

    private void awaitTurn() {
        try {
            wait();
        } catch (InterruptedException e) {
            throw new IllegalStateException("operator was interrupted", e);
        }
    }
}
