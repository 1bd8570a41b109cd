package dev.zinniaring.soak;

import dev.zinniaring.soak.Observations.Call;
import dev.zinniaring.soak.Observations.Disturbance;
import dev.zinniaring.soak.Observations.Leaving;
import dev.zinniaring.soak.Observations.Outcome;
import dev.zinniaring.soak.Observations.Run;
import dev.zinniaring.soak.Observations.Version;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What callers and backend servers may rely on, checked against what they saw. Bounds are those of
 * the users' deployments.
 */
final class Promises {
    private static final long DRAIN_MILLIS = 2_500;
    private static final long CONFIGURATION_MILLIS = 2_500;

    /** A call is beside planned work only if nothing else happened for this long before it. */
    private static final long STABLE_MILLIS = 3_000;

    /** A node knows everything again this long after the last fault. */
    private static final long CATCH_UP_MILLIS = 6_000;

    /** Work for a caller that has left ends within this time. */
    private static final long GONE_MILLIS = 500;

    /** Callers and backend servers take the time in different threads. */
    private static final long SLACK_MILLIS = 150;

    private static final int MAX_WORK_FOR_NOBODY = 3;
    private static final int MAX_WORK_FOR_NOBODY_PART = 4;
    private static final int SUCCESS = 200;
    private static final int UNAVAILABLE = 503;
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, UNAVAILABLE);
    private static final Set<Integer> BROKEN_OFF = Set.of(502, 504);

    private final Observations seen;
    private final Map<String, List<Run>> runs = new HashMap<>();
    private final List<Version> versions;
    private final List<Disturbance> unplanned;
    private final List<String> broken = new ArrayList<>();

    private Promises(Observations seen) {
        this.seen = seen;
        seen.runs()
                .forEach(
                        run ->
                                runs.computeIfAbsent(run.callId(), id -> new ArrayList<>())
                                        .add(run));
        versions = seen.versions();
        unplanned = seen.disturbances().stream().filter(each -> !each.planned()).toList();
    }

    /** Returns every broken promise. */
    static List<String> broken(Observations seen) {
        Promises promises = new Promises(seen);
        seen.calls().forEach(promises::checkCall);
        promises.checkLeaving();
        promises.checkWorkForNobody();
        promises.broken.addAll(seen.findings());
        return promises.broken;
    }

    private void checkCall(Call call) {
        List<Run> ran = runs.getOrDefault(call.id(), List.of());
        checkRuns(call, ran);
        checkService(call, ran);
        if (call.status() == SUCCESS && !call.body().equals(call.id())) {
            broken("WHOLE", call, "was answered with \"" + call.body() + "\"");
        }
        checkLost(call, ran);
    }

    private void checkRuns(Call call, List<Run> ran) {
        if (!call.route().idempotent() && ran.size() > 1) {
            broken("TWICE", call, "ran " + ran.size() + " times");
        }
        if (!call.route().idempotent() && NOT_RUN.contains(call.status()) && !ran.isEmpty()) {
            broken("REFUSED", call, "was answered " + call.status() + " and ran");
        }
        Set<String> servers = new HashSet<>();
        ran.forEach(run -> servers.add(run.serverId()));
        if (servers.size() > Route.MAX_ATTEMPTS) {
            broken("BUDGET", call, "ran at " + servers);
        }
        for (Run run : ran) {
            // A paused node cannot see how long a request lay in the buffers of its sockets.
            if (run.startMillis() > call.deadlineMillis() + GONE_MILLIS
                    && !disturbed(call.sentMillis() - STABLE_MILLIS, run.startMillis())) {
                broken("BUDGET", call, "was begun after its deadline");
            }
        }
    }

    /** Checks the service of each run against the configurations that may be in force. */
    private void checkService(Call call, List<Run> ran) {
        for (Run run : ran) {
            boolean allowed =
                    switch (call.route()) {
                        case LOOKUP, REPORT -> run.service().equals(Operator.SERVICES.get(0));
                        case ORDER -> run.service().equals(Operator.SERVICES.get(1));
                        case MOVING -> movedTo(call, run);
                    };
            if (!allowed) {
                broken("CONFIG", call, "was run by " + run.service());
            }
        }
    }

    private boolean movedTo(Call call, Run run) {
        long sureMillis = call.sentMillis() - CONFIGURATION_MILLIS;
        Version newest = null;
        boolean allowed = false;
        for (Version version : versions) {
            if (version.atMillis() <= sureMillis) {
                newest = version;
            } else if (version.atMillis() <= run.startMillis() + SLACK_MILLIS) {
                allowed |= version.service().equals(run.service());
            }
        }
        allowed |= newest != null && newest.service().equals(run.service());
        return allowed || disturbed(call.sentMillis() - CATCH_UP_MILLIS, run.startMillis());
    }

    /** Checks that planned work cuts no call which a sound backend server works on. */
    private void checkLost(Call call, List<Run> ran) {
        boolean lost =
                call.outcome() == Outcome.CUT
                        || (BROKEN_OFF.contains(call.status())
                                && call.endedMillis() < call.deadlineMillis() - SLACK_MILLIS);
        if (!lost || disturbed(call.sentMillis() - STABLE_MILLIS, call.endedMillis())) {
            return;
        }
        for (Run run : ran) {
            if (run.startMillis() <= call.endedMillis()) {
                broken(
                        "LOST",
                        call,
                        "ended "
                                + call.outcome()
                                + " "
                                + call.status()
                                + " at "
                                + call.endedMillis());
                return;
            }
        }
    }

    private void checkLeaving() {
        Map<String, Long> acknowledged = new HashMap<>();
        for (Leaving leaving : seen.leavings()) {
            acknowledged.put(leaving.serverId(), leaving.atMillis());
        }
        Map<String, Call> calls = new HashMap<>();
        seen.calls().forEach(call -> calls.put(call.id(), call));
        for (Run run : seen.runs()) {
            Long atMillis = acknowledged.get(run.serverId());
            if (atMillis != null && run.startMillis() > atMillis + DRAIN_MILLIS + SLACK_MILLIS) {
                Call call = calls.get(run.callId());
                // A paused process can hold what it had taken before; it is out of touch.
                if (call == null || !disturbed(atMillis - STABLE_MILLIS, run.startMillis())) {
                    broken.add(
                            "DRAIN: %s reached %s %d ms after its leaving was acknowledged"
                                    .formatted(
                                            run.callId(),
                                            run.serverId(),
                                            run.startMillis() - atMillis));
                }
            }
        }
    }

    private void checkWorkForNobody() {
        int ended = 0;
        List<String> late = new ArrayList<>();
        for (Call call : seen.calls()) {
            if (call.outcome() != Outcome.CALLER_LEFT
                    || disturbed(
                            call.sentMillis() - STABLE_MILLIS, call.endedMillis() + GONE_MILLIS)) {
                continue;
            }
            for (Run run : runs.getOrDefault(call.id(), List.of())) {
                if (run.endMillis() > call.endedMillis() + GONE_MILLIS + SLACK_MILLIS) {
                    late.add(call.id());
                } else {
                    ended++;
                }
            }
        }
        if (late.size() > MAX_WORK_FOR_NOBODY
                && late.size() * MAX_WORK_FOR_NOBODY_PART > late.size() + ended) {
            broken.add("GONE: servers worked on after the callers of " + late + " had left");
        }
    }

    private boolean disturbed(long fromMillis, long toMillis) {
        return unplanned.stream()
                .anyMatch(each -> each.fromMillis() <= toMillis && each.toMillis() >= fromMillis);
    }

    private void broken(String promise, Call call, String what) {
        broken.add(
                "%s: %s (%s, sent to node-%d at %d ms) %s"
                        .formatted(
                                promise,
                                call.id(),
                                call.route(),
                                call.node(),
                                call.sentMillis(),
                                what));
    }
}
