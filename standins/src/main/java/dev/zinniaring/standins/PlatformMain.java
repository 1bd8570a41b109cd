package dev.zinniaring.standins;

import dev.zinniaring.kernel.Clock;
import dev.zinniaring.store.MemoryPlatform;
import dev.zinniaring.store.PlatformFaults;
import io.javalin.util.JavalinBindException;
import java.io.PrintStream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;

/**
 * Runs the in-memory platform server as a process until it is terminated by a signal. The first
 * line of output contains the address on which it listens.
 */
public final class PlatformMain {
    private static final int EXIT_USAGE = 2;
    private static final int MAX_PORT = 65_535;

    @Option(
            name = "--address",
            metaVar = "IP:PORT",
            usage = "address to listen on; port 0 selects a free port")
    private String address = "127.0.0.1:8700";

    @Option(name = "--limits", usage = "reject requests above 2,000 reads/s and 300 writes/s")
    private boolean limits;

    @Option(name = "--verbose", usage = "print a line for each request")
    private boolean verbose;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    private PlatformMain() {}

    /** Starts the server; exits with status 2 if the arguments are invalid. */
    public static void main(String[] args) {
        int status = run(args, System.out, System.err);
        if (status != 0) {
            System.exit(status);
        }
    }

    static int run(String[] args, PrintStream out, PrintStream err) {
        return new PlatformMain().parseAndStart(args, out, err);
    }

    private int parseAndStart(String[] args, PrintStream out, PrintStream err) {
        CmdLineParser parser =
                new CmdLineParser(this, ParserProperties.defaults().withUsageWidth(100));
        try {
            parser.parseArgument(args);
            if (help) {
                parser.printUsage(out);
                return 0;
            }
            PlatformServer server = start(out);
            out.println("listening on " + server.url());
            return 0;
        } catch (CmdLineException | IllegalArgumentException | JavalinBindException e) {
            err.println("error: " + e.getMessage());
            return EXIT_USAGE;
        }
    }

    private PlatformServer start(PrintStream out) {
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("--address must be IP:PORT, was " + address);
        }
        int port = port(address.substring(colon + 1));
        MemoryPlatform platform = new MemoryPlatform(Clock.system());
        if (limits) {
            platform.faults()
                    .limits(
                            PlatformFaults.USUAL_READS_PER_SECOND,
                            PlatformFaults.USUAL_WRITES_PER_SECOND);
        }
        PlatformServer.Builder builder =
                PlatformServer.builder()
                        .address(address.substring(0, colon), port)
                        .platform(platform);
        if (verbose) {
            builder.requestLog(out::println);
        }
        return builder.start();
    }

    private static int port(String text) {
        try {
            int port = Integer.parseInt(text);
            if (port >= 0 && port <= MAX_PORT) {
                return port;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("the port must be a number, was " + text, e);
        }
        throw new IllegalArgumentException("the port must be from 0 to 65535, was " + text);
    }
}
