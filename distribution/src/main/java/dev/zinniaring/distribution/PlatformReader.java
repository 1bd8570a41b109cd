package dev.zinniaring.distribution;

import dev.zinniaring.model.InvalidTablesException;
import dev.zinniaring.publish.Head;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.VersionSource;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the head and version bodies from the platform on an executor, one read at a time, and
 * reports the results in the mailbox.
 */
final class PlatformReader {
    private static final Logger log = LoggerFactory.getLogger(PlatformReader.class);

    private final VersionSource source;
    private final Executor executor;
    private final Mailbox mailbox;
    private final VersionState state;
    private final Listener listener;
    private final BodyReader bodies;
    private boolean busy;
    private boolean reachable = true;
    private long reads;
    private long failures;
    private long knownRevision;
    private long knownNumber;

    /** Receives the results; called in the mailbox. */
    interface Listener {
        /**
         * Called after each successful read of the head with its number, which was current at some
         * time after the read was requested.
         */
        void onHead(long number);

        /** Called with a verified version that is newer than the held one. */
        void onVersion(HeldVersion version);
    }

    PlatformReader(
            VersionSource source,
            Executor executor,
            Mailbox mailbox,
            VersionState state,
            Listener listener,
            BodyReader bodies) {
        this.source = source;
        this.executor = executor;
        this.mailbox = mailbox;
        this.state = state;
        this.listener = listener;
        this.bodies = bodies;
    }

    /**
     * Reads the head, and the body if it is newer than the held version. Does nothing while a read
     * is running.
     */
    void readVersion() {
        long revision = knownRevision;
        run(() -> read(revision));
    }

    /** Reads only the head. Does nothing while a read is running. */
    void readHead() {
        run(() -> report(source.head().number()));
    }

    private void run(Read read) {
        if (busy) {
            return;
        }
        busy = true;
        reads++;
        try {
            executor.execute(() -> runOnExecutor(read));
        } catch (RejectedExecutionException e) {
            busy = false;
            log.debug("skipped platform read: executor is shut down");
        }
    }

    private void runOnExecutor(Read read) {
        boolean done = false;
        try {
            read.run();
            done = true;
        } catch (PublishException | DistributionException e) {
            mailbox.post(() -> failed(e));
        } finally {
            boolean succeeded = done;
            mailbox.post(() -> finished(succeeded));
        }
    }

    private void read(long revision) throws PublishException, DistributionException {
        Optional<Head> newer = source.headIfChanged(revision);
        if (newer.isEmpty()) {
            mailbox.post(() -> listener.onHead(knownNumber));
            return;
        }
        Head head = newer.get();
        report(head.number());
        if (head.number() > 0 && state.shouldFetch(head.number(), head.hash())) {
            readBody(head);
        }
        mailbox.post(() -> known(head));
    }

    private void readBody(Head head) throws PublishException, DistributionException {
        byte[] body = bodies.read(source, head, state.now().held());
        try {
            HeldVersion version = HeldVersion.read(head.number(), head.hash(), body);
            mailbox.post(() -> listener.onVersion(version));
        } catch (InvalidTablesException e) {
            state.refuse(head.number(), head.hash(), String.valueOf(e.getMessage()));
            log.warn("rejected version {} from the platform: {}", head.number(), e.getMessage());
        }
    }

    private void report(long number) {
        mailbox.post(() -> listener.onHead(number));
    }

    private void known(Head head) {
        knownRevision = head.revision();
        knownNumber = head.number();
    }

    private void finished(boolean succeeded) {
        busy = false;
        if (succeeded && !reachable) {
            log.info("platform reads succeed again");
        }
        reachable = succeeded;
    }

    private void failed(Exception e) {
        failures++;
        if (reachable) {
            log.warn("platform read failed: {}", e.getMessage());
        }
    }

    long reads() {
        return reads;
    }

    long failures() {
        return failures;
    }

    boolean reachable() {
        return reachable;
    }

    /** A blocking read. */
    private interface Read {
        void run() throws PublishException, DistributionException;
    }
}
