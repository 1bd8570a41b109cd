package dev.zinniaring.ctl;

import dev.zinniaring.model.InvalidTablesException;
import dev.zinniaring.model.Tables;
import dev.zinniaring.model.TablesCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** Reads the tables from the path given on the command line. */
final class TablesFiles {
    private TablesFiles() {}

    /** Reads and validates a directory of declarations, or a single file. */
    static Tables read(String argument) throws CtlException {
        try {
            Path path = Path.of(argument);
            return Files.isDirectory(path)
                    ? TablesCodec.readDirectory(path)
                    : TablesCodec.decode(Files.readAllBytes(path));
        } catch (InvalidTablesException e) {
            throw new CtlException(
                    ExitStatus.REFUSED, "the tables are not valid:\n" + e.getMessage(), e);
        } catch (IOException | InvalidPathException e) {
            throw new CtlException(ExitStatus.USAGE, "cannot read " + argument, e);
        }
    }
}
