package dev.zinniaring.node;

import com.google.common.net.InetAddresses;
import dev.zinniaring.kernel.JsonFields;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Reads node settings strictly; all problems are added to the problem list of the fields. */
final class NodeSettingsReader {
    private static final String NAME_ACCEPTED = "1 to 64 of a-z, 0-9, '.', '_' and '-'";
    private static final String LISTEN_ACCEPTED =
            "ip:port, with a literal IP address and a port from 0 to 65535";
    private static final String PEER_ACCEPTED =
            "ip:port, with a literal IP address and a port from 1 to 65535";
    private static final InetSocketAddress PLACEHOLDER = new InetSocketAddress(0);

    private final JsonFields fields;

    private NodeSettingsReader(JsonFields fields) {
        this.fields = fields;
    }

    static NodeSettings read(JsonFields fields) {
        NodeSettingsReader reader = new NodeSettingsReader(fields);
        NodeSettings settings = reader.settings();
        fields.reportUnknownFields();
        return settings;
    }

    private NodeSettings settings() {
        return new NodeSettings(
                name("mesh"),
                name("nodeId"),
                name("zone"),
                name("region"),
                listenAddress("callAddress"),
                listenAddress("peerCallAddress"),
                listenAddress("controlAddress"),
                listenAddress("announceAddress"),
                listenAddress("adminAddress"),
                seeds(),
                platform(fields.object("platform")),
                fields.has("limits") ? limits(fields.object("limits")) : Limits.DEFAULT,
                fields.has("log") ? log(fields.object("log")) : new NodeSettings.Log(false));
    }

    private String name(String field) {
        String value = fields.text(field);
        if (!value.isEmpty() && !value.matches("[a-z0-9._-]{1,64}")) {
            fields.addProblem(field, value, NAME_ACCEPTED);
        }
        return value;
    }

    private InetSocketAddress listenAddress(String field) {
        String value = fields.text(field);
        InetSocketAddress address = address(value);
        if (address != null) {
            return address;
        }
        if (!value.isEmpty()) {
            fields.addProblem(field, value, LISTEN_ACCEPTED);
        }
        return PLACEHOLDER;
    }

    private List<InetSocketAddress> seeds() {
        List<InetSocketAddress> seeds = new ArrayList<>();
        Set<InetSocketAddress> seen = new HashSet<>();
        for (String value : fields.texts("seeds")) {
            InetSocketAddress address = address(value);
            if (address == null || address.getPort() == 0) {
                fields.addProblem("seeds", value, PEER_ACCEPTED);
            } else if (!seen.add(address)) {
                fields.addProblem("seeds", value, "each seed listed only once");
            } else {
                seeds.add(address);
            }
        }
        if (!fields.has("seeds") || fields.texts("seeds").isEmpty()) {
            fields.addProblem("seeds", "no seed", "a list of at least one " + PEER_ACCEPTED);
        }
        return seeds;
    }

    private static NodeSettings.Platform platform(JsonFields fields) {
        NodeSettings.Platform platform =
                new NodeSettings.Platform(
                        url(fields, "tableUrl"),
                        url(fields, "objectUrl"),
                        fields.integer("timeoutMillis", 1, 60_000, 2_000));
        fields.reportUnknownFields();
        return platform;
    }

    private static String url(JsonFields fields, String field) {
        String value = fields.text(field);
        if (!value.isEmpty() && !isHttpUrl(value)) {
            fields.addProblem(field, value, "an http or https URL");
        }
        return value;
    }

    private static boolean isHttpUrl(String value) {
        try {
            URI uri = URI.create(value);
            return uri.getHost() != null
                    && ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()));
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static Limits limits(JsonFields fields) {
        Limits fallback = Limits.DEFAULT;
        Limits limits =
                new Limits(
                        fields.integer("maxBodyBytes", 1, 1 << 30, fallback.maxBodyBytes()),
                        fields.integer("maxHeaderBytes", 512, 1 << 20, fallback.maxHeaderBytes()),
                        fields.integer("maxHeaders", 8, 1_000, fallback.maxHeaders()),
                        fields.integer("maxConnections", 1, 65_536, fallback.maxConnections()),
                        fields.integer(
                                "maxConcurrentCalls", 1, 4_096, fallback.maxConcurrentCalls()),
                        fields.integer("idleMillis", 100, 600_000, fallback.idleMillis()),
                        fields.integer(
                                "minBodyBytesPerSecond",
                                0,
                                1 << 20,
                                fallback.minBodyBytesPerSecond()),
                        fields.integer("connectMillis", 1, 60_000, fallback.connectMillis()),
                        fields.integer("drainMillis", 0, 600_000, fallback.drainMillis()));
        fields.reportUnknownFields();
        return limits;
    }

    private static NodeSettings.Log log(JsonFields fields) {
        NodeSettings.Log log = new NodeSettings.Log(fields.flag("json", false));
        fields.reportUnknownFields();
        return log;
    }

    /** Returns the address, or null if the text is not a literal IP address with a port. */
    static @Nullable InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            return null;
        }
        String host = text.substring(0, colon);
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        String number = bracketed ? host.substring(1, host.length() - 1) : host;
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > 65_535
                || !InetAddresses.isInetAddress(number)
                || bracketed != number.contains(":")) {
            return null;
        }
        return new InetSocketAddress(InetAddresses.forString(number), port);
    }
}
