package dev.zinniaring.ctl;

import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.Publisher;
import org.kohsuke.args4j.Argument;

/** Implements {@code rollback}: publishes the content of an older version as the next version. */
final class RollbackCommand extends ChangeCommand {
    @Argument(metaVar = "N", required = true, usage = "version whose content is published again")
    private long number;

    @Override
    void run(Dependencies dependencies, Console console) throws CtlException, PublishException {
        Publisher publisher = dependencies.get().publisher();
        long base = base(publisher);
        lostVersions(dependencies, base, console);
        accepted(
                dependencies,
                publisher.rollback(number, base),
                "rolled back to the content of version " + number + "\n",
                Console.object().put("content", number),
                console);
    }
}
