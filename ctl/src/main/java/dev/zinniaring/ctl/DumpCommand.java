package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.publish.PublishException;
import java.util.List;
import org.kohsuke.args4j.Argument;

/** Implements {@code dump}: prints the state of one node, or of all nodes in the settings. */
final class DumpCommand extends Command {
    @Argument(
            metaVar = "ADDRESS",
            usage = "admin address of a node (default all nodes in the settings)")
    private String address = "";

    @Override
    void run(Dependencies dependencies, Console console) throws CtlException, PublishException {
        if (!address.isEmpty() && !NodeAdmin.isAddress(address)) {
            throw new CtlException(
                    ExitStatus.USAGE, "ADDRESS must have the form 10.0.1.4:9100, was " + address);
        }
        NodeAdmin nodes = dependencies.get().nodes();
        List<String> addresses = address.isEmpty() ? nodes.known() : List.of(address);
        ObjectNode json = Console.object();
        for (var state : nodes.states(addresses).entrySet()) {
            json.set(state.getKey(), state.getValue());
        }
        console.result(Console.pretty(json), json);
    }
}
