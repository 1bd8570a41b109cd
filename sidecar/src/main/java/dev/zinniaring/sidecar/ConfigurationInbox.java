package dev.zinniaring.sidecar;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;

/**
 * Configuration documents that wait to be read, on a thread of their own. It answers versions that
 * follow each other faster than a node reads them: the newest one that waits is read first, and
 * those that it overtakes are dropped unread, unless it turns out to be invalid. Thread-safe.
 */
final class ConfigurationInbox {
    /** Documents that wait beyond which the one that arrived first is dropped. */
    static final int MAX_WAITING = 4;

    private final ActiveConfiguration activeConfiguration;
    private final Executor executor;
    private final List<Waiting> waiting = new ArrayList<>();

    private record Waiting(ConfigurationDocument document, Runnable onRead) {}

    /**
     * Creates an empty inbox.
     *
     * @param executor reads the documents, one at a time
     */
    ConfigurationInbox(ActiveConfiguration activeConfiguration, Executor executor) {
        this.activeConfiguration = activeConfiguration;
        this.executor = executor;
    }

    /** Adds a document. */
    void add(ConfigurationDocument document) {
        add(document, () -> {});
    }

    /**
     * Adds a document.
     *
     * @param onRead is run once the document has been read or dropped, on any thread
     */
    void add(ConfigurationDocument document, Runnable onRead) {
        List<Waiting> dropped = new ArrayList<>();
        synchronized (waiting) {
            waiting.add(new Waiting(document, onRead));
            while (waiting.size() > MAX_WAITING) {
                dropped.add(waiting.remove(0));
            }
        }
        dropped.forEach(each -> each.onRead().run());
        executor.execute(this::readWaiting);
    }

    private void readWaiting() {
        List<Waiting> taken;
        synchronized (waiting) {
            taken = List.copyOf(waiting);
            waiting.clear();
        }
        try {
            Map<ConfigurationDocument, Long> numbers = new LinkedHashMap<>();
            for (Waiting each : taken) {
                numbers.put(each.document(), activeConfiguration.number(each.document()));
            }
            newestFirst(numbers).forEach(activeConfiguration::offer);
        } finally {
            // A node that waits for this pulls no further version.
            taken.forEach(each -> each.onRead().run());
        }
    }

    private static Collection<ConfigurationDocument> newestFirst(
            Map<ConfigurationDocument, Long> numbers) {
        List<ConfigurationDocument> sorted = new ArrayList<>(numbers.keySet());
        Collections.reverse(sorted);
        sorted.sort(
                (one, other) ->
                        Long.compare(
                                numbers.getOrDefault(other, 0L), numbers.getOrDefault(one, 0L)));
        return sorted;
    }
}
