package dev.zinniaring.admission;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Admits every call immediately. A baseline without overload protection. */
public final class UnlimitedAdmission implements AdmissionController {
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger slots;
    private final LongAdder granted = new LongAdder();
    private final LongAdder shed = new LongAdder();
    private final AtomicBoolean draining = new AtomicBoolean();

    /** Creates a controller that reports {@code slots} but does not enforce them. */
    public UnlimitedAdmission(int slots) {
        this.slots = new AtomicInteger(slots);
    }

    @Override
    public Ticket admit(CallInfo call, AdmissionCallback callback) {
        if (draining.get()) {
            shed.increment();
            callback.shed(ShedReason.DRAINING);
        } else {
            granted.increment();
            running.incrementAndGet();
            callback.granted(new CountingPermit());
        }
        return () -> {};
    }

    @Override
    public int pressure() {
        return NO_PRESSURE;
    }

    @Override
    public void resize(int newSlots) {
        slots.set(newSlots);
    }

    @Override
    public void drain() {
        draining.set(true);
    }

    @Override
    public void expire() {}

    @Override
    public AdmissionState state() {
        return new AdmissionState(
                running.get(),
                0,
                slots.get(),
                slots.get(),
                pressure(),
                granted.sum(),
                shed.sum(),
                draining.get());
    }

    private final class CountingPermit implements Permit {
        private final AtomicBoolean released = new AtomicBoolean();

        @Override
        public void release(RunOutcome outcome, long latencyNanos) {
            if (released.compareAndSet(false, true)) {
                running.decrementAndGet();
            }
        }
    }
}
