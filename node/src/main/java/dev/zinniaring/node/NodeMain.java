package dev.zinniaring.node;

import dev.zinniaring.kernel.KernelException;
import dev.zinniaring.kernel.Problem;
import dev.zinniaring.kernel.SettingsException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** The command {@code zinniaring-node}: runs one node until the process receives a signal. */
public final class NodeMain {
    private static final int OK = 0;
    private static final int FAILED = 1;
    private static final int BAD_SETTINGS = 2;

    @Option(name = "--settings", metaVar = "FILE", usage = "run a node with the settings in FILE")
    private @Nullable Path settingsFile;

    @Option(name = "--check-settings", usage = "check the settings and exit")
    private boolean checkSettings;

    @Option(
            name = "--dev",
            usage = "run an in-memory platform, a node and two backend servers in one process",
            forbids = {"--settings", "--check-settings"})
    private boolean dev;

    @Option(name = "--version", usage = "print the version", help = true)
    private boolean version;

    @Option(name = "--help", usage = "print this help", help = true)
    private boolean help;

    private NodeMain() {}

    /**
     * Runs the command. The exit status is 0 after a shutdown by a signal, 1 if the node cannot
     * start, and 2 if the settings or options are invalid.
     */
    public static void main(String... args) {
        int status = run(args, System.out, System.err);
        if (status != OK) {
            System.exit(status);
        }
    }

    /** Runs the command and returns its exit status; a running node keeps the process alive. */
    static int run(String[] args, PrintStream out, PrintStream err) {
        NodeMain options = new NodeMain();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            err.println("zinniaring-node: " + e.getMessage());
            usage(parser, err);
            return BAD_SETTINGS;
        }
        if (options.help) {
            usage(parser, out);
            return OK;
        }
        return options.run(parser, out, err);
    }

    private static void usage(CmdLineParser parser, PrintStream to) {
        to.println("usage: zinniaring-node --settings FILE [--check-settings] | --dev");
        parser.printUsage(to);
    }

    private int run(CmdLineParser parser, PrintStream out, PrintStream err) {
        if (version) {
            out.println("zinniaring-node " + Build.version());
            return OK;
        }
        try {
            if (dev) {
                DevMesh mesh = DevMesh.start(out);
                endOnSignal(mesh::close);
                return OK;
            }
            Path file = settingsFile;
            if (file == null) {
                err.println("zinniaring-node: --settings FILE or --dev is required");
                usage(parser, err);
                return BAD_SETTINGS;
            }
            return run(NodeSettings.read(file), out);
        } catch (SettingsException e) {
            err.println("zinniaring-node: invalid settings:");
            for (Problem problem : e.problems()) {
                err.println("  " + problem);
            }
            return BAD_SETTINGS;
        } catch (KernelException e) {
            err.println("zinniaring-node: " + e.getMessage());
            return FAILED;
        }
    }

    private int run(NodeSettings settings, PrintStream out) throws KernelException {
        if (checkSettings) {
            out.println("settings of node " + settings.nodeId() + " are valid");
            return OK;
        }
        LogSetup.configure(settings.log());
        Node node = Node.builder(settings).build();
        try {
            node.start();
        } catch (KernelException e) {
            node.close();
            throw e;
        }
        endOnSignal(() -> node.shutDown(Duration.ofMillis(settings.limits().drainMillis())));
        return OK;
    }

    /** Keeps the process alive until a signal, and runs the action before the process exits. */
    private static void endOnSignal(Runnable action) {
        CountDownLatch ended = new CountDownLatch(1);
        Thread alive = new Thread(() -> awaitUninterrupted(ended), "main-alive");
        alive.start();
        Thread hook =
                new Thread(
                        () -> {
                            action.run();
                            ended.countDown();
                        },
                        "shutdown");
        Runtime.getRuntime().addShutdownHook(hook);
    }

    private static void awaitUninterrupted(CountDownLatch ended) {
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
