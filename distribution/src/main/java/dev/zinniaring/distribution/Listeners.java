package dev.zinniaring.distribution;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls listeners in the order of their registration. An exception thrown by one listener does not
 * affect the others.
 */
final class Listeners<T> {
    private static final Logger log = LoggerFactory.getLogger(Listeners.class);

    private final List<Consumer<T>> listeners = new CopyOnWriteArrayList<>();

    void add(Consumer<T> listener) {
        listeners.add(listener);
    }

    void call(T value) {
        for (Consumer<T> listener : listeners) {
            try {
                listener.accept(value);
            } catch (RuntimeException e) {
                log.error("listener for {} failed", value.getClass().getSimpleName(), e);
            }
        }
    }
}
