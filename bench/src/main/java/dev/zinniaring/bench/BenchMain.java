package dev.zinniaring.bench;

import java.io.PrintStream;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs one experiment and prints its report as a JSON object on the last line of output. */
public final class BenchMain {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Option(name = "--list", usage = "list the experiments")
    private boolean list;

    @Option(name = "--seed", usage = "seed of all random choices")
    private long seed = 1;

    @Argument(metaVar = "NAME", usage = "the experiment to run")
    private @Nullable String name;

    private BenchMain() {}

    public static void main(String[] args) {
        // Non-daemon threads of third-party libraries may still be running.
        System.exit(new BenchMain().run(args, System.out, System.err));
    }

    private int run(String[] args, PrintStream out, PrintStream err) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            err.println(e.getMessage());
            return EXIT_USAGE;
        }
        if (list) {
            Experiments.ALL.forEach(each -> out.printf("%-20s %s%n", each.name(), each.summary()));
            return 0;
        }
        Optional<Experiment> experiment = Experiments.named(name == null ? "" : name);
        if (experiment.isEmpty()) {
            err.println("no experiment named " + name + "; see bench/run --list");
            return EXIT_USAGE;
        }
        return run(experiment.get(), out, err);
    }

    private int run(Experiment experiment, PrintStream out, PrintStream err) {
        try {
            out.println(experiment.run(seed).toJson(experiment.name(), seed));
            return 0;
        } catch (ExperimentException e) {
            err.println(experiment.name() + " failed: " + e.getMessage());
            return EXIT_FAILED;
        }
    }
}
