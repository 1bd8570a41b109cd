package dev.zinniaring.ctl;

import dev.zinniaring.kernel.JsonFields;
import dev.zinniaring.kernel.Problem;
import dev.zinniaring.kernel.SettingsException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import okhttp3.HttpUrl;

/**
 * The settings of {@code zinniarctl}, a JSON object:
 *
 * <pre>{@code
 * {"mesh": "pt-centro",
 *  "author": "ines",
 *  "platform": {"tableUrl": "http://10.0.0.9:8700/table",
 *               "objectUrl": "http://10.0.0.9:8700/objects",
 *               "timeoutMillis": 2000},
 *  "nodes": ["10.0.1.4:9100"]}
 * }</pre>
 *
 * @param mesh name of the mesh
 * @param author name recorded as the author of changes
 * @param tableUrl base URL of the platform's table service
 * @param objectUrl base URL of the platform's object store
 * @param timeoutMillis timeout of one attempt of a request, in milliseconds
 * @param nodes admin addresses of some nodes, from which the others are discovered
 */
public record CtlSettings(
        String mesh,
        String author,
        String tableUrl,
        String objectUrl,
        int timeoutMillis,
        List<String> nodes) {
    private static final int MIN_TIMEOUT_MILLIS = 10;
    private static final int MAX_TIMEOUT_MILLIS = 60_000;
    private static final int DEFAULT_TIMEOUT_MILLIS = 2_000;
    private static final Pattern MESH = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

    /** Makes a defensive copy of the list. */
    public CtlSettings {
        nodes = List.copyOf(nodes);
    }

    /**
     * Parses and validates the settings.
     *
     * @throws SettingsException with every problem found
     */
    public static CtlSettings parse(String text) throws SettingsException {
        List<Problem> problems = new ArrayList<>();
        JsonFields fields = JsonFields.parse(text, "", problems);
        String mesh = fields.text("mesh");
        if (!mesh.isEmpty() && !MESH.matcher(mesh).matches()) {
            fields.addProblem("mesh", mesh, "lower-case letters, digits and hyphens");
        }
        String author = fields.text("author");
        JsonFields platform = fields.object("platform");
        CtlSettings settings =
                new CtlSettings(
                        mesh,
                        author,
                        url(platform, "tableUrl"),
                        url(platform, "objectUrl"),
                        platform.integer(
                                "timeoutMillis",
                                MIN_TIMEOUT_MILLIS,
                                MAX_TIMEOUT_MILLIS,
                                DEFAULT_TIMEOUT_MILLIS),
                        nodes(fields));
        platform.reportUnknownFields();
        fields.reportUnknownFields();
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return settings;
    }

    private static String url(JsonFields fields, String name) {
        String url = fields.text(name);
        if (!url.isEmpty() && HttpUrl.parse(url) == null) {
            fields.addProblem(name, url, "an HTTP URL");
        }
        return url;
    }

    private static List<String> nodes(JsonFields fields) {
        List<String> nodes = fields.texts("nodes");
        for (String node : nodes) {
            if (!NodeAdmin.isAddress(node)) {
                fields.addProblem("nodes", node, "addresses such as 10.0.1.4:9100");
            }
        }
        return nodes;
    }
}
