package dev.zinniaring.node;

import dev.zinniaring.kernel.JsonFields;
import dev.zinniaring.kernel.Problem;
import dev.zinniaring.kernel.SettingsException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Settings of a node: its identity, its addresses, its access to the platform and its limits.
 *
 * <pre>{@code
 * NodeSettings settings = NodeSettings.read(Path.of("settings.json"));
 * NodeSettings inTest = NodeSettings.builder().mesh("m").nodeId("n1").zone("a").build();
 * }</pre>
 *
 * @param mesh name of the mesh, shared by all its nodes
 * @param nodeId unique in the mesh
 * @param zone availability zone of this VM
 * @param region region of the zone
 * @param callAddress address at which callers send calls
 * @param peerCallAddress address at which other nodes send calls
 * @param controlAddress TCP and UDP address for control messages
 * @param announceAddress address at which local backend servers announce themselves
 * @param adminAddress address that serves metrics and state
 * @param seeds control addresses of the seeds; the same list on every node
 * @param platform access to the platform
 * @param limits limits of the call path
 * @param log log format
 */
public record NodeSettings(
        String mesh,
        String nodeId,
        String zone,
        String region,
        InetSocketAddress callAddress,
        InetSocketAddress peerCallAddress,
        InetSocketAddress controlAddress,
        InetSocketAddress announceAddress,
        InetSocketAddress adminAddress,
        List<InetSocketAddress> seeds,
        Platform platform,
        Limits limits,
        Log log) {

    /** Copies the list of seeds. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Access to the platform.
     *
     * @param tableUrl URL of the table service
     * @param objectUrl URL of the object store
     * @param timeoutMillis time-out of a request, in milliseconds
     */
    public record Platform(String tableUrl, String objectUrl, int timeoutMillis) {}

    /**
     * Log format.
     *
     * @param json whether each line is one JSON object
     */
    public record Log(boolean json) {}

    /** Returns a builder whose default addresses are ephemeral ports on the loopback interface. */
    public static NodeSettingsBuilder builder() {
        return new NodeSettingsBuilder();
    }

    /**
     * Reads a settings file.
     *
     * @throws SettingsException with all problems found, if the file cannot be read or is invalid
     */
    public static NodeSettings read(Path file) throws SettingsException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            String cause = e.getClass().getSimpleName();
            throw new SettingsException(
                    List.of(new Problem(file.toString(), cause, "a readable settings file")));
        }
    }

    /**
     * Parses the text of a settings file.
     *
     * @throws SettingsException with all problems found in the text
     */
    public static NodeSettings parse(String text) throws SettingsException {
        List<Problem> problems = new ArrayList<>();
        NodeSettings settings = NodeSettingsReader.read(JsonFields.parse(text, "", problems));
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return settings;
    }
}
