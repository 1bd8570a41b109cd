package dev.zinniaring.ctl;

import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.Publisher;
import org.kohsuke.args4j.Argument;

/** Publishes the content of an older version again, as the next version. */
final class RollbackCommand extends ChangeCommand {
    @Argument(metaVar = "N", required = true, usage = "version whose content comes back")
    private long number;

    @Override
    void run(Parts parts, Console console) throws CtlException, PublishException {
        Publisher publisher = parts.get().publisher();
        long base = base(publisher);
        accepted(
                parts,
                publisher.rollback(number, base),
                "rolled back to the content of version " + number + "\n",
                Console.object().put("content", number),
                console);
    }
}
