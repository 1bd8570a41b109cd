package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.publish.PublishException;
import java.util.ArrayList;
import java.util.List;

/**
 * Shows the latest version and what each node follows. Nodes are shown also while the platform
 * cannot be read; the command then ends with the status of that failure.
 */
final class StatusCommand extends Command {
    @Override
    void run(Parts parts, Console console) throws CtlException, PublishException {
        List<NodeStatus> statuses = parts.get().nodes().statuses();
        ObjectNode json = Console.object();
        List<String> lines = new ArrayList<>();
        ArrayNode nodes = Console.array();
        for (NodeStatus status : statuses) {
            nodes.add(status.toJson());
            lines.add(status.toString());
        }
        try {
            long head = parts.get().publisher().source().head().number();
            json.put("head", head);
            lines.add(0, "latest version " + head + ": " + Followers.of(head, statuses));
        } catch (PublishException e) {
            json.putNull("head");
            lines.add(0, "latest version unknown");
            throw e;
        } finally {
            json.set("nodes", nodes);
            console.result(String.join("\n", lines), json);
        }
    }
}
