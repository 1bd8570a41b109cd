package dev.zinniaring.ctl;

import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.Resolution;
import org.kohsuke.args4j.Argument;

/** Settles a change whose outcome was unknown. */
final class ResolveCommand extends Command {
    @Argument(metaVar = "TOKEN", required = true, usage = "the token that was printed")
    private String token = "";

    @Override
    void run(Parts parts, Console console) throws PublishException {
        Resolution resolution = parts.get().publisher().resolve(token);
        console.result(
                resolution.accepted()
                        ? "accepted as version " + resolution.number()
                        : "not accepted, and it never will be",
                Console.object()
                        .put("accepted", resolution.accepted())
                        .put("number", resolution.number()));
    }
}
