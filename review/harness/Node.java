import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One node of the system, started as a process with the command and the template of the deploy file. */
final class Node implements AutoCloseable {
    private static final Path ROOT = Path.of(System.getProperty("repository", "."));

    final String name;
    private final Map<String, String> values = new java.util.concurrent.ConcurrentHashMap<>();
    private final Path folder;
    private final Path log;
    private Process process;

    Node(String name, String zone, String service, String serverAddress, String store, Path temporary)
            throws IOException {
        this.name = name;
        values.put("node_name", name);
        values.put("zone", zone);
        values.put("service", service);
        values.put("app_addr", serverAddress);
        values.put("ip", "127.0.0.1");
        values.put("platform.address", store);
        // The bounds of the site file sabios-mesa.
        values.put("bounds.grace_s", "6");
        values.put("bounds.budget_ratio", "0.2");
        values.put("bounds.budget_slack", "62");
        values.put("bounds.budget_window_s", "10");
        folder = Files.createDirectories(temporary.resolve(name));
        log = folder.resolve("out.txt");
        takePorts();
    }

    private void takePorts() throws IOException {
        int[] ports = freePorts(5);
        values.put("listen.outbound", "127.0.0.1:" + ports[0]);
        values.put("listen.inbound", "127.0.0.1:" + ports[1]);
        values.put("listen.ready", "127.0.0.1:" + ports[2]);
        values.put("listen.control", "127.0.0.1:" + ports[3]);
        values.put("internal_ports.0", "" + ports[4]);
        Files.writeString(folder.resolve("settings.json"), settings());
    }

    /** Starts the process for the first time; takes other ports if another process has just taken one of these. */
    void startFirst() throws IOException, InterruptedException {
        for (int i = 0; i < 5; i++) {
            start();
            if (!process.waitFor(1_500, TimeUnit.MILLISECONDS)) {
                return;
            }
            takePorts();
        }
        throw new IOException(name + " does not start: " + Files.readString(log));
    }

    /** Returns free ports below the range from which the system takes the ports of clients. */
    static int[] freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        Random random = new Random();
        while (held.size() < count) {
            int port = 12_000 + random.nextInt(18_000);
            try {
                held.add(new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")));
                ports[held.size() - 1] = port;
            } catch (IOException e) {
                // In use; another one is tried.
            }
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return ports;
    }

    private String settings() throws IOException {
        String template = Files.readString(ROOT.resolve("deploy/settings.json"));
        Matcher matcher = Pattern.compile("\\{\\{([a-z0-9_.]+)(\\|json)?\\}\\}").matcher(template);
        StringBuilder out = new StringBuilder();
        while (matcher.find()) {
            String value = values.get(matcher.group(1));
            if (value == null) {
                throw new IOException("no value for " + matcher.group(1));
            }
            boolean quoted = matcher.group(2) != null && !matcher.group(1).startsWith("bounds.");
            matcher.appendReplacement(out, Matcher.quoteReplacement(quoted ? Json.quote(value) : value));
        }
        matcher.appendTail(out);
        return out.toString();
    }

    String calls() {
        return values.get("listen.outbound");
    }

    String control() {
        return values.get("listen.control");
    }

    String state() {
        try {
            Http.Message answer = Http.once("127.0.0.1:" + values.get("internal_ports.0"),
                    "GET /state HTTP/1.1\r\nHost: n\r\n", new byte[0], 1_000);
            return answer == null ? "no answer" : new String(answer.body());
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** Starts the process by the command of the deploy file. */
    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(ROOT.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.directory(ROOT.toFile());
        builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        builder.environment().put("ZINNIARING_CONFIG", folder.resolve("settings.json").toAbsolutePath().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        process = builder.start();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    /** SIGTERM, and SIGKILL after the grace period of 6 s, as the platform does. */
    void terminate() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(6, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            process.waitFor();
        }
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** The platform's readiness check: 200, another status, or 0 without an answer. */
    int ready() {
        try {
            Http.Message answer = Http.once(values.get("listen.ready"),
                    "GET /zinniaring/ready HTTP/1.1\r\nHost: n\r\n", new byte[0], 1_000);
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    boolean awaitReady(int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 10; i++) {
            if (ready() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Lines of the process's log that contain a text. */
    List<String> logLines(String text) throws IOException {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(log)) {
            if (line.contains(text)) {
                found.add(line);
            }
        }
        return found;
    }

    @Override
    public void close() {
        if (process == null) {
            return;
        }
        try {
            kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
