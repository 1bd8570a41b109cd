package dev.zinniaring.distribution;

import dev.zinniaring.model.ModelException;
import dev.zinniaring.publish.Head;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.VersionSource;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the head and bodies from the platform on an executor, one read at a time, and reports to
 * the mailbox.
 */
final class HeadReader {
    private static final Logger log = LoggerFactory.getLogger(HeadReader.class);

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

    /** Learns what was read; called in the mailbox. */
    interface Listener {
        /** The head's number as of a read that began after it was asked for. */
        void head(long number);

        /** A whole version that is above the held one. */
        void found(HeldVersion version);
    }

    HeadReader(
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

    /** Reads the head, and the body if it is above what is held; does nothing while one runs. */
    void readVersion() {
        long revision = knownRevision;
        run(() -> read(revision));
    }

    /** Reads the head alone; does nothing while a read runs. */
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
            log.debug("platform read dropped because the executor has stopped");
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
        Optional<Head> newer = source.headIfNewer(revision);
        if (newer.isEmpty()) {
            mailbox.post(() -> listener.head(knownNumber));
            return;
        }
        Head head = newer.get();
        report(head.number());
        if (head.number() > 0 && state.wants(head.number(), head.hash())) {
            readBody(head);
        }
        mailbox.post(() -> known(head));
    }

    private void readBody(Head head) throws PublishException, DistributionException {
        byte[] body = bodies.read(source, head, state.now().held());
        try {
            HeldVersion version = HeldVersion.read(head.number(), head.hash(), body);
            mailbox.post(() -> listener.found(version));
        } catch (ModelException e) {
            state.refuse(head.number(), head.hash(), String.valueOf(e.getMessage()));
            log.warn("version {} on the platform is refused: {}", head.number(), e.getMessage());
        }
    }

    private void report(long number) {
        mailbox.post(() -> listener.head(number));
    }

    private void known(Head head) {
        knownRevision = head.revision();
        knownNumber = head.number();
    }

    private void finished(boolean succeeded) {
        busy = false;
        if (succeeded && !reachable) {
            log.info("platform can be read again");
        }
        reachable = succeeded;
    }

    private void failed(Exception e) {
        failures++;
        if (reachable) {
            log.warn("platform cannot be read: {}", e.getMessage());
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

    /** A read that blocks. */
    private interface Read {
        void run() throws PublishException, DistributionException;
    }
}
