package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.VersionEntry;
import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Option;

/** Implements {@code history}: lists the accepted versions, the latest first. */
final class HistoryCommand extends Command {
    private static final int MAX_LIMIT = 1_000;

    @Option(name = "--limit", metaVar = "N", usage = "number of versions, 1 to 1000 (default 20)")
    private int limit = 20;

    @Override
    void run(Dependencies dependencies, Console console) throws CtlException, PublishException {
        if (limit < 1 || limit > MAX_LIMIT) {
            throw new CtlException(
                    ExitStatus.USAGE, "--limit must be from 1 to " + MAX_LIMIT + ", was " + limit);
        }
        List<VersionEntry> history = dependencies.get().publisher().history(limit);
        ArrayNode json = Console.array();
        for (VersionEntry entry : history) {
            json.addObject()
                    .put("number", entry.number())
                    .put("hash", entry.hash())
                    .put("author", entry.author())
                    .put("acceptedAtMillis", entry.acceptedAtMillis())
                    .put("token", entry.token());
        }
        String text = history.stream().map(HistoryCommand::line).collect(Collectors.joining("\n"));
        console.result(history.isEmpty() ? "nothing has been published yet" : text, json);
    }

    private static String line(VersionEntry entry) {
        return "%d  %s  %s  %s"
                .formatted(
                        entry.number(),
                        Instant.ofEpochMilli(entry.acceptedAtMillis()),
                        entry.author(),
                        entry.hash());
    }
}
