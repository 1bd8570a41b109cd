package dev.zinniaring.distribution;

import dev.zinniaring.kernel.Scheduler;
import dev.zinniaring.kernel.Scheduler.Cancellable;
import dev.zinniaring.model.Version;
import dev.zinniaring.publish.VersionSource;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Reads the platform's head each second on every node, and the body after each change. The baseline
 * against which experiments compare {@link VersionDistribution}: its reads and bytes grow with the
 * fleet, and a node cannot start while the platform is down.
 */
public final class PollingDistribution implements Versions {
    private final VersionState state = new VersionState();
    private final Listeners<Version> listeners = new Listeners<>();
    private final Scheduler scheduler;
    private final Duration period;
    private final HeadReader reader;
    private final Mailbox mailbox;
    private volatile @Nullable Cancellable timer;

    private PollingDistribution(Builder builder) {
        scheduler = Objects.requireNonNull(builder.scheduler, "scheduler");
        period = builder.period;
        mailbox = new Mailbox(scheduler);
        reader =
                new HeadReader(
                        Objects.requireNonNull(builder.source, "source"),
                        Objects.requireNonNull(builder.platformExecutor, "platformExecutor"),
                        mailbox,
                        state,
                        new Found(),
                        BodyReader.whole());
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Begins to poll. */
    public void start() {
        mailbox.post(reader::readVersion);
        timer = scheduler.every(period, () -> mailbox.post(reader::readVersion));
    }

    /** Stops polling. What is in force stays readable. */
    public void stop() {
        Cancellable running = timer;
        if (running != null) {
            running.cancel();
        }
    }

    @Override
    public Optional<Version> inForce() {
        return Optional.ofNullable(state.now().inForce());
    }

    @Override
    public void subscribe(Consumer<Version> listener) {
        listeners.add(listener);
    }

    /** Returns how many reads of the platform were begun. */
    public long platformReads() {
        return reader.reads();
    }

    /** Puts in force what was read; the head itself is the floor. */
    private final class Found implements HeadReader.Listener {
        @Override
        public void head(long number) {
            state.floor(number);
        }

        @Override
        public void found(HeldVersion version) {
            if (state.offer(version) == VersionState.Outcome.IN_FORCE) {
                listeners.call(version.version());
            }
        }
    }

    /** Collects the parts of a {@link PollingDistribution}. */
    public static final class Builder {
        private @Nullable VersionSource source;
        private @Nullable Scheduler scheduler;
        private @Nullable Executor platformExecutor;
        private Duration period = Duration.ofSeconds(1);

        private Builder() {}

        /** Sets where the accepted versions are read. */
        public Builder source(VersionSource value) {
            source = value;
            return this;
        }

        /** Sets what runs timers. */
        public Builder scheduler(Scheduler value) {
            scheduler = value;
            return this;
        }

        /** Sets what runs reads of the platform, which block. */
        public Builder platformExecutor(Executor value) {
            platformExecutor = value;
            return this;
        }

        /** Sets the time between two reads, by default one second. */
        public Builder period(Duration value) {
            period = value;
            return this;
        }

        /**
         * Returns the distribution.
         *
         * @throws NullPointerException if a part is missing
         */
        public PollingDistribution build() {
            return new PollingDistribution(this);
        }
    }
}
