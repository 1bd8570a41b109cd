package dev.zinniaring.soak;

import dev.zinniaring.soak.Observations.Call;
import dev.zinniaring.soak.Observations.Disturbance;
import dev.zinniaring.soak.Observations.End;
import dev.zinniaring.soak.Observations.LeaveAck;
import dev.zinniaring.soak.Observations.Limit;
import dev.zinniaring.soak.Observations.Outcome;
import dev.zinniaring.soak.Observations.Run;
import dev.zinniaring.soak.Observations.Version;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the invariants on which callers and backend servers rely against what they observed. The
 * time limits are those of the users' deployments.
 */
final class InvariantChecker {
    /** Calls may reach a backend server at most this long after a node acknowledged its leave. */
    private static final long MAX_DRAIN_MILLIS = 2_500;

    /** Calls sent later than this after the store accepted a configuration must follow it. */
    private static final long MAX_PROPAGATION_MILLIS = 2_500;

    /** Calls sent within this time after an unplanned fault may be affected by it. */
    private static final long FAULT_AFTERMATH_MILLIS = 3_000;

    /** Nodes may take this long after a fault to receive the latest configuration. */
    private static final long CATCH_UP_MILLIS = 6_000;

    /** Backend servers must stop working on a cancelled call within this time. */
    private static final long MAX_ABANDONED_MILLIS = 500;

    /** Tolerance, because callers and backend servers read the clock in different threads. */
    private static final long CLOCK_TOLERANCE_MILLIS = 150;

    /** Number of cancelled calls whose runs may end late, whatever their share. */
    private static final int MAX_ABANDONED_RUNS = 3;

    /** Beyond that number, at most one in this many runs of cancelled calls may end late. */
    private static final int MAX_ABANDONED_ONE_IN = 4;

    /** A limit that a backend server names binds after this time. */
    private static final long LIMIT_NOTICE_MILLIS = 3_000;

    private static final long LIMIT_WINDOW_MILLIS = 4_000;

    /** Factor by which, and number of requests by which, a window may exceed the limit. */
    private static final double MAX_LIMIT_EXCESS = 1.5;

    private static final int MAX_RUNS_BEYOND_LIMIT = 5;

    /** Servers that a request may end before it is held back. */
    private static final int MAX_ENDS = 3;

    private static final int SUCCESS = 200;
    private static final int UNAVAILABLE = 503;
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, UNAVAILABLE);
    private static final Set<Integer> INTERRUPTED_STATUSES = Set.of(502, 504);

    private final Observations observed;
    private final Map<String, List<Run>> runs = new HashMap<>();
    private final List<Version> versions;
    private final List<Disturbance> unplanned;
    private final List<String> violations = new ArrayList<>();

    private InvariantChecker(Observations observed) {
        this.observed = observed;
        observed.runs()
                .forEach(
                        run ->
                                runs.computeIfAbsent(run.callId(), id -> new ArrayList<>())
                                        .add(run));
        versions = observed.versions();
        unplanned = observed.disturbances().stream().filter(each -> !each.planned()).toList();
    }

    /** Returns every violation, each beginning with the name of the violated invariant. */
    static List<String> violations(Observations observed) {
        InvariantChecker checker = new InvariantChecker(observed);
        observed.calls().forEach(checker::checkCall);
        checker.checkLeaving();
        checker.checkLimits();
        checker.checkEnds();
        checker.checkAbandonedRuns();
        checker.violations.addAll(MixedChecker.violations(observed));
        checker.violations.addAll(observed.findings());
        return checker.violations;
    }

    private void checkCall(Call call) {
        List<Run> ran = runs.getOrDefault(call.id(), List.of());
        checkRuns(call, ran);
        checkService(call, ran);
        if (call.status() == SUCCESS && !call.body().equals(call.id())) {
            violation("WHOLE", call, "was answered with the body \"" + call.body() + "\"");
        }
        checkLost(call, ran);
    }

    private void checkRuns(Call call, List<Run> ran) {
        if (!call.route().idempotent() && ran.size() > 1) {
            violation("TWICE", call, "ran " + ran.size() + " times");
        }
        if (!call.route().idempotent()
                && NOT_RUN_STATUSES.contains(call.status())
                && !ran.isEmpty()) {
            violation("REFUSED", call, "was answered " + call.status() + ", but ran");
        }
        Set<String> servers = new HashSet<>();
        ran.forEach(run -> servers.add(run.serverId()));
        if (servers.size() > Route.MAX_ATTEMPTS) {
            violation("BUDGET", call, "ran at " + servers);
        }
        for (Run run : ran) {
            // A paused node cannot tell how long a request was held in its socket buffers.
            if (run.startMillis() > call.deadlineMillis() + MAX_ABANDONED_MILLIS
                    && !disturbed(call.sentMillis() - FAULT_AFTERMATH_MILLIS, run.startMillis())) {
                violation("BUDGET", call, "started to run after its deadline");
            }
        }
    }

    /** Checks that each run was at a service that an active configuration allows. */
    private void checkService(Call call, List<Run> ran) {
        for (Run run : ran) {
            boolean allowed =
                    switch (call.route()) {
                        case LOOKUP, REPORT -> run.service().equals(Operator.SERVICES.get(0));
                        case ORDER -> run.service().equals(Operator.SERVICES.get(1));
                        case MOVING -> mayRunMoving(call, run);
                    };
            if (!allowed) {
                violation("CONFIG", call, "was run by " + run.service());
            }
        }
    }

    private boolean mayRunMoving(Call call, Run run) {
        long propagatedBeforeMillis = call.sentMillis() - MAX_PROPAGATION_MILLIS;
        Version newest = null;
        boolean allowed = false;
        for (Version version : versions) {
            if (version.atMillis() <= propagatedBeforeMillis) {
                newest = version;
            } else if (version.atMillis() <= run.startMillis() + CLOCK_TOLERANCE_MILLIS) {
                allowed |= version.service().equals(run.service());
            }
        }
        allowed |= newest != null && newest.service().equals(run.service());
        return allowed || disturbed(call.sentMillis() - CATCH_UP_MILLIS, run.startMillis());
    }

    /**
     * Checks that no call that reached a backend server is lost, unless an unplanned fault explains
     * it. Planned maintenance is no excuse.
     */
    private void checkLost(Call call, List<Run> ran) {
        boolean lost =
                call.outcome() == Outcome.CUT
                        || (INTERRUPTED_STATUSES.contains(call.status())
                                && call.endedMillis()
                                        < call.deadlineMillis() - CLOCK_TOLERANCE_MILLIS);
        if (!lost || disturbed(call.sentMillis() - FAULT_AFTERMATH_MILLIS, call.endedMillis())) {
            return;
        }
        for (Run run : ran) {
            if (run.startMillis() <= call.endedMillis()) {
                violation(
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
        for (LeaveAck ack : observed.leaveAcks()) {
            acknowledged.put(ack.serverId(), ack.atMillis());
        }
        Map<String, Call> calls = new HashMap<>();
        observed.calls().forEach(call -> calls.put(call.id(), call));
        for (Run run : observed.runs()) {
            Long atMillis = acknowledged.get(run.serverId());
            if (atMillis != null
                    && run.startMillis() > atMillis + MAX_DRAIN_MILLIS + CLOCK_TOLERANCE_MILLIS) {
                Call call = calls.get(run.callId());
                // A paused process may later forward a request that it had accepted before, as it
                // could not learn that the server was leaving.
                if (call == null
                        || !disturbed(atMillis - FAULT_AFTERMATH_MILLIS, run.startMillis())) {
                    violations.add(
                            "DRAIN: %s reached %s %d ms after its leave was acknowledged"
                                    .formatted(
                                            run.callId(),
                                            run.serverId(),
                                            run.startMillis() - atMillis));
                }
            }
        }
    }

    private void checkLimits() {
        for (Limit limit : observed.limits()) {
            List<Long> starts =
                    observed.runs().stream()
                            .filter(run -> run.serverId().equals(limit.serverId()))
                            .map(Run::startMillis)
                            .filter(at -> at >= limit.fromMillis() + LIMIT_NOTICE_MILLIS)
                            .filter(at -> at <= limit.toMillis())
                            .sorted()
                            .toList();
            double allowed =
                    MAX_LIMIT_EXCESS * limit.perSecond() * LIMIT_WINDOW_MILLIS / 1_000
                            + MAX_RUNS_BEYOND_LIMIT;
            for (int i = (int) allowed; i < starts.size(); i++) {
                if (starts.get(i) - starts.get(i - (int) allowed) <= LIMIT_WINDOW_MILLIS) {
                    violations.add(
                            "LIMIT: %s got more than %.0f requests in the 4 s before %d ms"
                                    .formatted(limit.serverId(), allowed, starts.get(i)));
                    break;
                }
            }
        }
    }

    /**
     * Checks that a request which ends its servers is held back: after three ends at the latest if
     * nothing else is disturbed, and else from the time by which all nodes must know.
     */
    private void checkEnds() {
        Map<String, List<End>> byPath = new TreeMap<>();
        observed.ends()
                .forEach(
                        end -> byPath.computeIfAbsent(end.path(), p -> new ArrayList<>()).add(end));
        for (Map.Entry<String, List<End>> request : byPath.entrySet()) {
            List<End> ends = request.getValue();
            if (ends.size() <= MAX_ENDS) {
                continue;
            }
            long thirdMillis = ends.get(MAX_ENDS - 1).atMillis();
            long known =
                    ends.stream()
                            .filter(end -> end.atMillis() > thirdMillis + FAULT_AFTERMATH_MILLIS)
                            .filter(
                                    end ->
                                            !disturbedElse(
                                                    end.atMillis() - FAULT_AFTERMATH_MILLIS,
                                                    end.atMillis()))
                            .count();
            boolean calm =
                    !disturbedElse(
                            ends.get(0).atMillis() - FAULT_AFTERMATH_MILLIS,
                            ends.get(ends.size() - 1).atMillis());
            if (calm || known > MAX_ENDS) {
                violations.add("BUDGET: %s ended %s".formatted(request.getKey(), ends));
            }
        }
    }

    /** Returns whether there was an unplanned fault other than requests that end their servers. */
    private boolean disturbedElse(long fromMillis, long toMillis) {
        return unplanned.stream()
                .filter(each -> !each.kind().equals(Fault.ENDING_REQUEST))
                .anyMatch(each -> each.fromMillis() <= toMillis && each.toMillis() >= fromMillis);
    }

    private void checkAbandonedRuns() {
        int stoppedInTime = 0;
        List<String> late = new ArrayList<>();
        for (Call call : observed.calls()) {
            if (call.outcome() != Outcome.CALLER_LEFT
                    || disturbed(
                            call.sentMillis() - FAULT_AFTERMATH_MILLIS,
                            call.endedMillis() + MAX_ABANDONED_MILLIS)) {
                continue;
            }
            for (Run run : runs.getOrDefault(call.id(), List.of())) {
                if (run.endMillis()
                        > call.endedMillis() + MAX_ABANDONED_MILLIS + CLOCK_TOLERANCE_MILLIS) {
                    late.add(call.id());
                } else {
                    stoppedInTime++;
                }
            }
        }
        if (late.size() > MAX_ABANDONED_RUNS
                && late.size() * MAX_ABANDONED_ONE_IN > late.size() + stoppedInTime) {
            violations.add(
                    "GONE: servers kept running the calls "
                            + late
                            + " after their callers had cancelled them");
        }
    }

    private boolean disturbed(long fromMillis, long toMillis) {
        return unplanned.stream()
                .anyMatch(each -> each.fromMillis() <= toMillis && each.toMillis() >= fromMillis);
    }

    private void violation(String invariant, Call call, String what) {
        violations.add(
                "%s: %s (%s, sent to node-%d at %d ms) %s"
                        .formatted(
                                invariant,
                                call.id(),
                                call.route(),
                                call.node(),
                                call.sentMillis(),
                                what));
    }
}
