package dev.zinniaring.standins;

import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs one fake backend server until the process is terminated. */
public final class BackendServerMain {
    @Option(name = "--id", required = true, usage = "id of the server, unique in the mesh")
    private String id = "";

    @Option(name = "--service", required = true, usage = "service that the server provides")
    private String service = "";

    @Option(name = "--port", usage = "port for calls; 0 selects a free one")
    private int port;

    @Option(
            name = "--announce",
            usage = "ip:port at which the node on this VM accepts announcements")
    private @Nullable String announce;

    @Option(name = "--slots", usage = "maximum number of concurrent calls")
    private int slots = 6;

    @Option(name = "--mean-micros", usage = "mean service time in microseconds")
    private long meanMicros = 5_000;

    private BackendServerMain() {}

    /** Starts the configured server; exits with status 2 if the options are invalid. */
    public static void main(String... args) {
        BackendServerMain options = new BackendServerMain();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(2);
        }
        options.run();
    }

    private void run() {
        BackendServerBuilder builder =
                BackendServer.builder(id, service)
                        .port(port)
                        .slots(slots)
                        .serviceTime(ServiceTime.exponential(meanMicros));
        if (announce != null) {
            int colon = announce.lastIndexOf(':');
            String host = announce.substring(0, colon);
            builder.announceTo(
                    new InetSocketAddress(host, Integer.parseInt(announce.substring(colon + 1))));
        }
        BackendServer server = builder.build();
        server.start();
        Runtime.getRuntime().addShutdownHook(new Thread(server::close, "shutdown"));
        System.out.println("server " + id + " is listening on " + server.address());
    }
}
