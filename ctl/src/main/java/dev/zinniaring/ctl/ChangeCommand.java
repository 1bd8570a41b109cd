package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.publish.PublishConflictException;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.Publisher;
import dev.zinniaring.publish.VersionEntry;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** What the commands that publish a version have in common. */
abstract class ChangeCommand extends Command {
    @Option(
            name = "--expect-version",
            metaVar = "N",
            usage = "publish only on top of this version, 0 for the first")
    private @Nullable Long expectVersion;

    @Option(name = "--wait", usage = "wait until every node follows")
    private boolean wait;

    @Option(name = "--wait-seconds", metaVar = "S", usage = "longest wait (default 60)")
    private int waitSeconds = 60;

    /** Returns the latest version's number after comparing it with the expected one. */
    final long base(Publisher publisher) throws PublishException {
        long number = publisher.source().head().number();
        if (expectVersion != null && expectVersion != number) {
            throw new PublishConflictException(expectVersion, number);
        }
        return number;
    }

    /** Reports an accepted version, and waits for the nodes if asked to. */
    final void accepted(
            Parts parts, VersionEntry entry, String before, ObjectNode json, Console console)
            throws CtlException {
        console.progress("accepted as version " + entry.number());
        json.put("accepted", true)
                .put("number", entry.number())
                .put("hash", entry.hash())
                .put("token", entry.token());
        try {
            follow(parts, entry.number(), json, console);
        } finally {
            // The change is accepted, also if not every node follows in time.
            console.result(
                    "%sversion %d, hash %s".formatted(before, entry.number(), entry.hash()), json);
        }
    }

    final void follow(Parts parts, long number, ObjectNode json, Console console)
            throws CtlException {
        if (!wait) {
            return;
        }
        Followers followers =
                parts.get()
                        .followWait()
                        .await(number, Duration.ofSeconds(Math.max(0, waitSeconds)), console);
        json.put("nodes", followers.total()).put("following", followers.following().size());
    }
}
