package dev.zinniaring.soak;

import static java.util.stream.Collectors.counting;
import static java.util.stream.Collectors.groupingBy;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Executes soak runs for a range of seeds and prints their violations. */
public final class SoakMain {
    private static final int OK = 0;
    private static final int FAILED = 1;
    private static final int USAGE = 2;

    @Option(name = "--seeds", metaVar = "FROM-TO", usage = "range of seeds to run, inclusive")
    private String seeds = "1-1";

    @Option(name = "--jobs", metaVar = "N", usage = "number of concurrent runs")
    private int jobs = 2;

    @Option(name = "--seconds", metaVar = "N", usage = "length of the period in which faults start")
    private int seconds = 15;

    @Option(name = "--nodes", metaVar = "N", usage = "number of nodes per run, 2 to 40")
    private int nodes = 6;

    @Option(
            name = "--directory",
            metaVar = "DIR",
            usage = "directory for settings and logs of the nodes")
    private Path directory = Path.of("target", "soak");

    @Option(
            name = "--added-kinds",
            usage = "also draw limits of servers and restores of the store from each seed")
    private boolean addedKinds;

    @Option(
            name = "--odd-kinds",
            usage =
                    "also draw requests that end their servers, odd rows, and odd answers from each"
                            + " seed")
    private boolean oddKinds;

    @Option(
            name = "--stutter-kinds",
            usage =
                    "let servers stutter, fail and call others; also draw ends of nodes and servers"
                            + " that take over an address")
    private boolean stutterKinds;

    @Option(name = "--help", usage = "print this help", help = true)
    private boolean help;

    private SoakMain() {}

    /**
     * Runs the command. Exits with status 1 if an invariant was violated or a run could not be
     * carried out, and with 2 if the options are invalid.
     */
    public static void main(String... args) throws InterruptedException {
        System.exit(new SoakMain().run(args, System.out, System.err));
    }

    private int run(String[] args, PrintStream out, PrintStream err) throws InterruptedException {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            err.println("soak: " + e.getMessage());
            parser.printUsage(err);
            return USAGE;
        }
        if (help) {
            parser.printUsage(out);
            return OK;
        }
        String[] range = seeds.split("-", -1);
        if (range.length != 2 || !(seeds.matches("\\d{1,9}-\\d{1,9}")) || nodes < 2 || nodes > 40) {
            err.println("soak: --seeds takes a range such as 1-50, --nodes a number from 2 to 40");
            return USAGE;
        }
        return runSeeds(Long.parseLong(range[0]), Long.parseLong(range[1]), out);
    }

    private int runSeeds(long from, long to, PrintStream out) throws InterruptedException {
        ExecutorService runs = Executors.newFixedThreadPool(jobs);
        List<Future<Boolean>> results = new ArrayList<>();
        for (long seed = from; seed <= to; seed++) {
            long current = seed;
            results.add(runs.submit(() -> runSeed(current, out)));
        }
        runs.shutdown();
        int failed = 0;
        for (Future<Boolean> each : results) {
            try {
                failed += each.get() ? 0 : 1;
            } catch (ExecutionException e) {
                out.println("run could not be carried out: " + e.getCause());
                failed++;
            }
        }
        out.printf("%d runs, %d with violations or not carried out%n", results.size(), failed);
        return failed == 0 ? OK : FAILED;
    }

    private static String kind(String violation) {
        return violation.replaceFirst("^at \\d+ ms: ", "").replaceFirst(":.*", "");
    }

    /** Writes all violations to a file, as the report shows the first ones only. */
    private void write(long seed, List<String> violations) throws SoakException {
        try {
            Files.write(directory.resolve("seed-" + seed).resolve("violations.txt"), violations);
        } catch (IOException e) {
            throw new SoakException("the violations could not be written", e);
        }
    }

    private boolean runSeed(long seed, PrintStream out) throws SoakException, InterruptedException {
        Soak.Result result =
                Soak.builder(directory.resolve("seed-" + seed))
                        .seed(seed)
                        .nodes(nodes)
                        .faultsMillis(seconds * 1_000L)
                        .addedKinds(addedKinds)
                        .oddKinds(oddKinds)
                        .stutterKinds(stutterKinds)
                        .build()
                        .run();
        write(seed, result.violations());
        StringBuilder report = new StringBuilder();
        report.append(
                "seed %d: %d calls, %d served, %d faults, %d violations%n"
                        .formatted(
                                seed,
                                result.calls(),
                                result.served(),
                                result.faults().size(),
                                result.violations().size()));
        if (!result.violations().isEmpty()) {
            result.faults().forEach(fault -> report.append("  ").append(fault).append('\n'));
            result.violations().stream()
                    .collect(groupingBy(SoakMain::kind, TreeMap::new, counting()))
                    .forEach((kind, count) -> report.append("  %d x %s%n".formatted(count, kind)));
            result.violations().stream()
                    .limit(20)
                    .forEach(each -> report.append("  violation: ").append(each).append('\n'));
        }
        out.print(report);
        return result.violations().isEmpty();
    }
}
