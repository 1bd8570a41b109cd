package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.model.Tables;
import dev.zinniaring.model.TablesDiff;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.Publisher;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Implements {@code diff}: shows what applying the declared tables would change. */
final class DiffCommand extends Command {
    @Argument(
            metaVar = "DIRECTORY",
            required = true,
            usage = "directory of declarations, or one file")
    private String directory = "";

    @Option(name = "--against", metaVar = "N", usage = "version to compare with (default latest)")
    private long against;

    @Override
    void run(Dependencies dependencies, Console console) throws CtlException, PublishException {
        Tables tables = TablesFiles.read(directory);
        Publisher publisher = dependencies.get().publisher();
        long number = against > 0 ? against : publisher.source().head().number();
        Tables current = number == 0 ? Tables.EMPTY : publisher.version(number).tables();
        TablesDiff diff = TablesDiff.between(current, tables);
        ObjectNode json = Console.object().put("version", number);
        json.set("changes", diff.toJson());
        console.result(
                diff.isEmpty() ? "no changes against version " + number : diff.toString(), json);
    }
}
