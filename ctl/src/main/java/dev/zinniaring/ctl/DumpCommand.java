package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.publish.PublishException;
import java.util.List;
import org.kohsuke.args4j.Argument;

/** Writes the state dump of one node, or of all nodes in the settings. */
final class DumpCommand extends Command {
    @Argument(metaVar = "ADDRESS", usage = "admin address (default all nodes in the settings)")
    private String address = "";

    @Override
    void run(Parts parts, Console console) throws CtlException, PublishException {
        if (!address.isEmpty() && !NodeAdmin.isAddress(address)) {
            throw new CtlException(
                    ExitStatus.USAGE, "ADDRESS must be like 10.0.1.4:9100, was " + address);
        }
        NodeAdmin nodes = parts.get().nodes();
        List<String> addresses = address.isEmpty() ? nodes.known() : List.of(address);
        ObjectNode json = Console.object();
        for (var state : nodes.states(addresses).entrySet()) {
            json.set(state.getKey(), state.getValue());
        }
        console.result(Console.pretty(json), json);
    }
}
