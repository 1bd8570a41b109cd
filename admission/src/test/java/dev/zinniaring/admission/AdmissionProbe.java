package dev.zinniaring.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Records the decisions of a controller and fails if a call is decided twice. */
final class AdmissionProbe {
    final List<String> decisions = new ArrayList<>();
    final Deque<Permit> permits = new ArrayDeque<>();
    private final AdmissionController admission;

    AdmissionProbe(AdmissionController admission) {
        this.admission = admission;
    }

    Ticket admit(String name, int rankOrder, long deadlineNanos) {
        return admission.admit(new CallInfo(rankOrder, deadlineNanos), new RecordingCallback(name));
    }

    void release(long latencyNanos) {
        permits.removeFirst().release(RunOutcome.COMPLETED, latencyNanos);
    }

    private final class RecordingCallback implements AdmissionCallback {
        private final String name;
        private boolean decided;

        RecordingCallback(String name) {
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
