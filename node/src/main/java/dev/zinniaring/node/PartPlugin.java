package dev.zinniaring.node;

import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.kernel.Plugin;
import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;

/** A plug-in assembled from callbacks for start, drain, stop and state. */
final class PartPlugin implements Plugin {
    private final Builder parts;

    private PartPlugin(Builder parts) {
        this.parts = parts;
    }

    static Builder named(String name, int order) {
        return new Builder(name, order);
    }

    @Override
    public String name() {
        return parts.name;
    }

    @Override
    public int order() {
        return parts.order;
    }

    @Override
    public void start() throws KernelException {
        parts.start.run();
    }

    @Override
    public void drain(Duration limit) {
        parts.drain.run();
    }

    @Override
    public void stop() {
        parts.stop.run();
    }

    @Override
    public Object state() {
        return parts.state.get();
    }

    /** A start callback. */
    @FunctionalInterface
    interface Start {
        void run() throws KernelException;
    }

    /** Collects the callbacks; each of them defaults to doing nothing. */
    static final class Builder {
        private final String name;
        private final int order;
        private Start start = () -> {};
        private Runnable drain = () -> {};
        private Runnable stop = () -> {};
        private Supplier<Object> state = Map::of;

        private Builder(String name, int order) {
            this.name = name;
            this.order = order;
        }

        Builder onStart(Start action) {
            start = action;
            return this;
        }

        Builder onDrain(Runnable action) {
            drain = action;
            return this;
        }

        Builder onStop(Runnable action) {
            stop = action;
            return this;
        }

        Builder state(Supplier<Object> source) {
            state = source;
            return this;
        }

        Plugin build() {
            return new PartPlugin(this);
        }
    }
}
