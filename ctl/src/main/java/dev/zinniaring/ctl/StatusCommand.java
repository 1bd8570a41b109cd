package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.publish.PublishException;
import java.util.ArrayList;
import java.util.List;

/**
 * Implements {@code status}: shows the latest version and the version that each node follows. While
 * the platform is unavailable, it still shows the nodes, and then exits with the status of that
 * failure.
 */
final class StatusCommand extends Command {
    @Override
    void run(Dependencies dependencies, Console console) throws CtlException, PublishException {
        List<NodeStatus> statuses = dependencies.get().nodes().statuses();
        ObjectNode json = Console.object();
        List<String> lines = new ArrayList<>();
        ArrayNode nodes = Console.array();
        for (NodeStatus status : statuses) {
            nodes.add(status.toJson());
            lines.add(status.toString());
        }
        try {
            long head = dependencies.get().publisher().source().head().number();
            json.put("head", head);
            lines.add(0, "latest version " + head + ": " + RolloutProgress.of(head, statuses));
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
