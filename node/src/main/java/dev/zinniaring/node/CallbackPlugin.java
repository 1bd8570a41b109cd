package dev.zinniaring.node;

import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.kernel.Plugin;
import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;

/** A plug-in assembled from callbacks for start, drain, stop and state. */
final class CallbackPlugin implements Plugin {
    private final Builder callbacks;

    private CallbackPlugin(Builder callbacks) {
        this.callbacks = callbacks;
    }

    static Builder named(String name, int order) {
        return new Builder(name, order);
    }

    @Override
    public String name() {
        return callbacks.name;
    }

    @Override
    public int order() {
        return callbacks.order;
    }

    @Override
    public void start() throws KernelException {
        callbacks.start.run();
    }

    @Override
    public void drain(Duration limit) {
        callbacks.drain.run();
    }

    @Override
    public void stop() {
        callbacks.stop.run();
    }

    @Override
    public Object state() {
        return callbacks.state.get();
    }

    /** A start callback. */
    @FunctionalInterface
    interface StartAction {
        void run() throws KernelException;
    }

    /** Collects the callbacks; each of them defaults to doing nothing. */
    static final class Builder {
        private final String name;
        private final int order;
        private StartAction start = () -> {};
        private Runnable drain = () -> {};
        private Runnable stop = () -> {};
        private Supplier<Object> state = Map::of;

        private Builder(String name, int order) {
            this.name = name;
            this.order = order;
        }

        Builder onStart(StartAction action) {
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
            return new CallbackPlugin(this);
        }
    }
}
