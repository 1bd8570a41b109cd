package dev.zinniaring.ctl;

import dev.zinniaring.model.Tables;
import dev.zinniaring.model.TablesCodec;
import org.kohsuke.args4j.Argument;

/** Implements {@code validate}: validates declared tables without accessing the platform. */
final class ValidateCommand extends Command {
    @Argument(
            metaVar = "DIRECTORY",
            required = true,
            usage = "directory of declarations, or one file")
    private String directory = "";

    @Override
    boolean needsSettings() {
        return false;
    }

    @Override
    void run(Dependencies dependencies, Console console) throws CtlException {
        Tables tables = TablesFiles.read(directory);
        String hash = TablesCodec.hash(TablesCodec.encode(tables));
        String text =
                "valid: %d ranks, %d pools, %d routes, hash %s"
                        .formatted(
                                tables.ranks().size(),
                                tables.pools().size(),
                                tables.routes().size(),
                                hash);
        console.result(
                text,
                Console.object()
                        .put("valid", true)
                        .put("ranks", tables.ranks().size())
                        .put("pools", tables.pools().size())
                        .put("routes", tables.routes().size())
                        .put("hash", hash));
    }
}
