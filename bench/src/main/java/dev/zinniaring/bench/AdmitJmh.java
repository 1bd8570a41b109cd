package dev.zinniaring.bench;

import dev.zinniaring.admission.AdmissionCallback;
import dev.zinniaring.admission.AdmissionController;
import dev.zinniaring.admission.CallInfo;
import dev.zinniaring.admission.FifoAdmission;
import dev.zinniaring.admission.Permit;
import dev.zinniaring.admission.RankedAdmission;
import dev.zinniaring.admission.RunOutcome;
import dev.zinniaring.admission.ShedReason;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.model.Rank;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures time and allocation of admitting a call and releasing its permit. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class AdmitJmh {
    private static final int SLOTS = 18;
    private static final long SERVICE_NANOS = 1_000;
    private static final List<Rank> RANKS =
            List.of(
                    new Rank("orders", 0, 100, 0.2),
                    new Rank("shelf", 1, 30, 0.1),
                    new Rank("search", 2, 5, 0.1),
                    new Rank("history", 3, 1, 0.05));

    /** Admission controller under test. */
    @Param({"ranked", "fifo"})
    public String controller = "ranked";

    private final Deque<Permit> permits = new ArrayDeque<>();
    private final AdmissionCallback callback =
            new AdmissionCallback() {
                @Override
                public void granted(Permit permit) {
                    permits.addLast(permit);
                }

                @Override
                public void shed(ShedReason reason) {}
            };
    private AdmissionController admission = createController(controller);
    private int calls;

    /** Creates the controller before each trial. */
    @Setup
    public void createController() {
        admission = createController(controller);
        permits.clear();
    }

    /** Admits and completes a call while a slot is free. */
    @Benchmark
    public int freeSlot() {
        admit();
        permits.removeFirst().release(RunOutcome.COMPLETED, SERVICE_NANOS);
        return calls;
    }

    /** Admits a call while all slots are taken; it is queued until another call completes. */
    @Benchmark
    public int queued() {
        while (permits.size() < SLOTS) {
            admit();
        }
        admit();
        permits.removeFirst().release(RunOutcome.COMPLETED, SERVICE_NANOS);
        return calls;
    }

    private void admit() {
        calls++;
        long deadlineNanos = Clock.system().nanos() + TimeUnit.SECONDS.toNanos(10);
        admission.admit(new CallInfo(calls % RANKS.size(), deadlineNanos), callback);
    }

    private static AdmissionController createController(String name) {
        if (name.equals("fifo")) {
            return new FifoAdmission(Clock.system(), SLOTS, 100, 1_000);
        }
        return RankedAdmission.builder().slots(SLOTS).ranks(RANKS).maxQueued(100).build();
    }
}
