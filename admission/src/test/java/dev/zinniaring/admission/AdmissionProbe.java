package dev.zinniaring.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Records what a controller decides, and fails on a second decision on one call. */
final class AdmissionProbe {
    final List<String> decisions = new ArrayList<>();
    final Deque<Permit> permits = new ArrayDeque<>();
    private final AdmissionController admission;

    AdmissionProbe(AdmissionController admission) {
        this.admission = admission;
    }

    Ticket admit(String name, int rankOrder, long deadlineNanos) {
        return admission.admit(new CallInfo(rankOrder, deadlineNanos), new Once(name));
    }

    void release(long latencyNanos) {
        permits.removeFirst().release(RunOutcome.COMPLETED, latencyNanos);
    }

    private final class Once implements AdmissionCallback {
        private final String name;
        private boolean decided;

        Once(String name) {
            this.name = name;
        }

        @Override
        public void granted(Permit permit) {
            decide("granted");
            permits.addLast(permit);
        }

        @Override
        public void shed(ShedReason reason) {
            decide(reason.name());
        }

        private void decide(String decision) {
            if (decided) {
                throw new AssertionError(name + " was decided twice");
            }
            decided = true;
            decisions.add(name + " " + decision);
        }
    }
}
