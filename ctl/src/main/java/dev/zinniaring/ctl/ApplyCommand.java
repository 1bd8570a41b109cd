package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.model.Tables;
import dev.zinniaring.model.TablesDiff;
import dev.zinniaring.publish.PublishCorruptException;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.PublishRefusedException;
import dev.zinniaring.publish.Publisher;
import dev.zinniaring.publish.VersionEntry;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Implements {@code apply}: publishes declared tables as the next version. */
final class ApplyCommand extends ChangeCommand {
    @Argument(
            metaVar = "DIRECTORY",
            required = true,
            usage = "directory of declarations, or one file")
    private String directory = "";

    @Option(name = "--dry-run", usage = "show the changes without publishing them")
    private boolean dryRun;

    @Override
    void run(Dependencies dependencies, Console console) throws CtlException, PublishException {
        Tables tables = TablesFiles.read(directory);
        Publisher publisher = dependencies.get().publisher();
        long base = base(publisher);
        TablesDiff diff = TablesDiff.between(currentTables(publisher, base, console), tables);
        ObjectNode json = Console.object();
        json.set("changes", diff.toJson());
        boolean lostVersions = lostVersions(dependencies, base, console);
        if (base > 0 && diff.isEmpty() && !lostVersions) {
            json.put("accepted", false).put("number", base);
            follow(dependencies, base, json, console);
            console.result("no changes; version " + base + " has these tables", json);
            return;
        }
        if (dryRun) {
            json.put("accepted", false).put("number", base);
            console.result(diff + "\ndry run: nothing was published", json);
            return;
        }
        VersionEntry entry = publisher.publish(tables, base);
        accepted(dependencies, entry, diff + "\n", json, console);
    }

    private static Tables currentTables(Publisher publisher, long number, Console console)
            throws PublishException {
        if (number == 0) {
            return Tables.EMPTY;
        }
        try {
            return publisher.version(number).tables();
        } catch (PublishCorruptException | PublishRefusedException e) {
            // An unreadable version must not prevent operators from replacing it.
            console.progress(
                    "warning: cannot compare with version " + number + ": " + e.getMessage());
            return Tables.EMPTY;
        }
    }
}
