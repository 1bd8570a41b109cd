package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.publish.PublishConflictException;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.Publisher;
import dev.zinniaring.publish.VersionEntry;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Base class of the commands that publish a version. */
abstract class ChangeCommand extends Command {
    @Option(
            name = "--expect-version",
            metaVar = "N",
            usage = "publish only if this is the latest version; 0 if none is published")
    private @Nullable Long expectVersion;

    @Option(name = "--wait", usage = "wait until every node follows the new version")
    private boolean wait;

    @Option(name = "--wait-seconds", metaVar = "S", usage = "maximum wait in seconds (default 60)")
    private int waitSeconds = 60;

    /**
     * Returns the number of the latest version, 0 if there is none.
     *
     * @throws PublishConflictException if it is not the version given by {@code --expect-version}
     */
    final long base(Publisher publisher) throws PublishException {
        long number = publisher.source().head().number();
        if (expectVersion != null && expectVersion != number) {
            throw new PublishConflictException(expectVersion, number);
        }
        return number;
    }

    /** Returns whether nodes serve a later version than the platform has, and warns if so. */
    static boolean lostVersions(Dependencies dependencies, long base, Console console)
            throws CtlException {
        long held = dependencies.get().nodes().highestVersion();
        if (held <= base) {
            return false;
        }
        console.progress(
                ("warning: nodes serve version %d, but the platform's latest is %d:"
                                + " it has lost versions")
                        .formatted(held, base));
        return true;
    }

    /** Reports an accepted version, and waits for the nodes if {@code --wait} is given. */
    final void accepted(
            Dependencies dependencies,
            VersionEntry entry,
            String before,
            ObjectNode json,
            Console console)
            throws CtlException {
        console.progress("accepted as version " + entry.number());
        json.put("accepted", true)
                .put("number", entry.number())
                .put("hash", entry.hash())
                .put("token", entry.token());
        try {
            follow(dependencies, entry.number(), json, console);
        } finally {
            // The change has been accepted even if the wait fails.
            console.result(
                    "%sversion %d, hash %s".formatted(before, entry.number(), entry.hash()), json);
        }
    }

    /** Waits until every node follows the version if {@code --wait} is given. */
    final void follow(Dependencies dependencies, long number, ObjectNode json, Console console)
            throws CtlException {
        if (!wait) {
            return;
        }
        RolloutProgress progress =
                dependencies
                        .get()
                        .rolloutWait()
                        .await(number, Duration.ofSeconds(Math.max(0, waitSeconds)), console);
        json.put("nodes", progress.total()).put("following", progress.following().size());
    }
}
