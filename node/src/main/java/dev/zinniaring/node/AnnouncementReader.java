package dev.zinniaring.node;

import dev.zinniaring.kernel.JsonFields;
import dev.zinniaring.kernel.Problem;
import dev.zinniaring.model.EndpointState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/** Parses the body of an announcement strictly. */
final class AnnouncementReader {
    private static final String ADDRESS_ACCEPTED = "ip:port, with an IP number and 1 to 65535";
    private static final InetSocketAddress PLACEHOLDER =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    /** States that a backend server may announce; it cannot announce that it is gone. */
    private enum State {
        WARMING,
        READY,
        DRAINING
    }

    private AnnouncementReader() {}

    static Announcement read(String text, List<Problem> problems) {
        JsonFields fields = JsonFields.parse(text, "", problems);
        Announcement announcement =
                new Announcement(
                        fields.text("service"),
                        address(fields),
                        fields.integer("slots", 1, 100_000),
                        fields.integer("connections", 1, 100_000, 100_000),
                        fields.integer("warmUpMillis", 0, 3_600_000, 0),
                        state(fields.choice("state", State.class, State.READY)),
                        fields.integer("load", 0, 1_000_000, 0));
        fields.reportUnknownFields();
        return announcement;
    }

    private static EndpointState state(State announced) {
        return switch (announced) {
            case WARMING -> EndpointState.WARMING;
            case READY -> EndpointState.READY;
            case DRAINING -> EndpointState.DRAINING;
        };
    }

    private static InetSocketAddress address(JsonFields fields) {
        String text = fields.text("address");
        InetSocketAddress address = NodeSettingsReader.address(text);
        if (address != null && address.getPort() > 0) {
            return address;
        }
        if (!text.isEmpty()) {
            fields.addProblem("address", text, ADDRESS_ACCEPTED);
        }
        return PLACEHOLDER;
    }
}
