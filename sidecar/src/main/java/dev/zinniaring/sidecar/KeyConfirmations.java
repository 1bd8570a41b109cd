package dev.zinniaring.sidecar;

import dev.zinniaring.accounts.KeyFreshness;
import dev.zinniaring.kernel.ClockReading;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Confirms the keys of the active configuration by answers of the store. An answer that brings a
 * document confirms nothing until that document has been read, and neither do later answers. Used
 * on the event loop only.
 */
final class KeyConfirmations {
    private final KeyFreshness freshness;
    private final ConfigurationInbox inbox;
    private final Executor loop;
    private int unread;

    /**
     * Creates the component.
     *
     * @param inbox reads the documents
     */
    KeyConfirmations(KeyFreshness freshness, ConfigurationInbox inbox, Executor loop) {
        this.freshness = freshness;
        this.inbox = inbox;
        this.loop = loop;
    }

    /**
     * Handles an answer of the store about the configuration.
     *
     * @param asked moment at which the store was asked
     * @param documents documents that the answer brings
     */
    void answered(ClockReading asked, List<ConfigurationDocument> documents) {
        for (ConfigurationDocument document : documents) {
            unread++;
            inbox.add(document, () -> loop.execute(() -> read(asked)));
        }
        if (unread == 0) {
            freshness.confirm(asked, 0);
        }
    }

    private void read(ClockReading asked) {
        unread--;
        if (unread == 0) {
            freshness.confirm(asked, 0);
        }
    }
}
