package dev.zinniaring.admission;

import dev.zinniaring.kernel.Clock;
import java.util.Collection;
import java.util.List;

/**
 * Holds back a request that crashes the backend servers that run it.
 *
 * <pre>{@code
 * if (guard.verdict(fingerprint) == CrashGuard.Verdict.HOLD) { ... 503 not-run ... }
 * CrashGuard.Run run = guard.started(serverId, fingerprint);
 * run.completed();
 * }</pre>
 */
public final class CrashGuard {
    /** What may be done with a request. */
    public enum Verdict {
        /** It may run. */
        RUN,
        /** It may run, but only at a backend server where no other suspect is in flight. */
        RUN_APART,
        /** It must not run. */
        HOLD
    }

    /** A call in flight at a backend server. Exactly one of the methods is called, once. */
    public interface Run {
        /** The backend server answered: the request does not crash it. */
        void completed();

        /** The connection to the backend server broke, which may be the sign of a crash. */
        void broken();

        /** The call was cancelled or never sent. */
        void abandoned();
    }

    private CrashGuard(Builder builder) {}

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns what may be done with a request. */
    public Verdict verdict(long fingerprint) {
        return Verdict.RUN;
    }

    /** Notes that a call is sent to a backend server. */
    public Run started(String serverId, long fingerprint) {
        return new Run() {
            @Override
            public void completed() {}

            @Override
            public void broken() {}

            @Override
            public void abandoned() {}
        };
    }

    /** Notes that a backend server has crashed with whatever was in flight there. */
    public void crashed(String serverId) {}

    /** Returns whether a suspect is in flight at the backend server. */
    public boolean suspectInFlight(String serverId) {
        return false;
    }

    /** Returns what is to be spread to other nodes. */
    public List<Suspect> export() {
        return List.of();
    }

    /** Takes up what other nodes spread. */
    public void merge(Collection<Suspect> suspects) {}

    /** Drops what has expired. To be called by a timer, about every second. */
    public void expire() {}

    /** Sets up a {@link CrashGuard}. */
    public static final class Builder {
        private Clock clock = Clock.system();
        private String nodeId = "";

        private Builder() {}

        /** Sets the clock. */
        public Builder clock(Clock value) {
            this.clock = value;
            return this;
        }

        /** Sets the id of this node, which makes the ids of crashes unique in the mesh. */
        public Builder nodeId(String value) {
            this.nodeId = value;
            return this;
        }

        /** Returns the guard. */
        public CrashGuard build() {
            return new CrashGuard(this);
        }
    }
}
