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
 * Baseline for experiments with {@link VersionDistribution}: each node polls the head on the
 * platform, once a second by default, and reads the body after each change. The number of reads and
 * bytes grows with the fleet, and a node cannot start while the platform is down.
 */
public final class PollingDistribution implements Versions {
    private final VersionState state = new VersionState();
    private final Listeners<Version> listeners = new Listeners<>();
    private final Scheduler scheduler;
    private final Duration period;
    private final PlatformReader reader;
    private final Mailbox mailbox;
    private volatile @Nullable Cancellable timer;

    private PollingDistribution(Builder builder) {
        scheduler = Objects.requireNonNull(builder.scheduler, "scheduler");
        period = builder.period;
        mailbox = new Mailbox(scheduler);
        reader =
                new PlatformReader(
                        Objects.requireNonNull(builder.source, "source"),
                        Objects.requireNonNull(builder.platformExecutor, "platformExecutor"),
                        mailbox,
                        state,
                        new PlatformListener(),
                        BodyReader.fullBody());
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Starts polling. */
    public void start() {
        mailbox.post(reader::readVersion);
        timer = scheduler.every(period, () -> mailbox.post(reader::readVersion));
    }

    /** Stops polling. The active version stays readable. */
    public void stop() {
        Cancellable running = timer;
        if (running != null) {
            running.cancel();
        }
    }

    @Override
    public Optional<Version> active() {
        return Optional.ofNullable(state.now().active());
    }

    @Override
    public void subscribe(Consumer<Version> listener) {
        listeners.add(listener);
    }

    /** Returns the number of platform reads started. */
    public long platformReads() {
        return reader.reads();
    }

    /** Activates each version that is read; the number of the head is the floor. */
    private final class PlatformListener implements PlatformReader.Listener {
        @Override
        public void onHead(long number) {
            state.floor(number);
        }

        @Override
        public void onVersion(HeldVersion version) {
            if (state.offer(version) == VersionState.Outcome.ACTIVATED) {
                listeners.call(version.version());
            }
        }
    }

    /** Builder for {@link PollingDistribution}. */
    public static final class Builder {
        private @Nullable VersionSource source;
        private @Nullable Scheduler scheduler;
        private @Nullable Executor platformExecutor;
        private Duration period = Duration.ofSeconds(1);

        private Builder() {}

        /** Sets the source of the accepted versions. */
        public Builder source(VersionSource value) {
            source = value;
            return this;
        }

        /** Sets the scheduler that runs timers. */
        public Builder scheduler(Scheduler value) {
            scheduler = value;
            return this;
        }

        /** Sets the executor for platform reads, which block. */
        public Builder platformExecutor(Executor value) {
            platformExecutor = value;
            return this;
        }

        /** Sets the polling interval; defaults to one second. */
        public Builder period(Duration value) {
            period = value;
            return this;
        }

        /**
         * Creates the distribution.
         *
         * @throws NullPointerException if a required setting is missing
         */
        public PollingDistribution build() {
            return new PollingDistribution(this);
        }
    }
}
