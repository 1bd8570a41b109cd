package dev.zinniaring.ctl;

import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.Resolution;
import org.kohsuke.args4j.Argument;

/** Implements {@code resolve}: determines the outcome of a change for which it was unknown. */
final class ResolveCommand extends Command {
    @Argument(
            metaVar = "TOKEN",
            required = true,
            usage = "token printed when the change was published")
    private String token = "";

    @Override
    void run(Dependencies dependencies, Console console) throws PublishException {
        Resolution resolution = dependencies.get().publisher().resolve(token);
        console.result(
                resolution.accepted()
                        ? "accepted as version " + resolution.number()
                        : "not accepted, and it never will be",
                Console.object()
                        .put("accepted", resolution.accepted())
                        .put("number", resolution.number()));
    }
}
