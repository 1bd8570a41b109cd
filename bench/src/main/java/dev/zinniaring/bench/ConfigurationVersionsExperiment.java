package dev.zinniaring.bench;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Processor time that a version which changes one route costs a node, by the number of routes, in a
 * process with the JVM options of the deployment. The baseline reads each version whole.
 */
final class ConfigurationVersionsExperiment implements Experiment {
    private static final List<Integer> ROUTES = List.of(2, 500, 2_000, 20_000);

    private static final Path JAR =
            Path.of("target/zinniaring-platform/zinniaring-platform-0.1.0.jar");

    /** Options of {@code deploy/system.toml} that affect the cost, with a heap for any size. */
    private static final List<String> JVM_OPTIONS =
            List.of("-Xmx512m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    @Override
    public String name() {
        return "configuration-versions";
    }

    @Override
    public String summary() {
        return "processor time of a version that changes one of 2 to 20,000 routes";
    }

    @Override
    public Report run(long seed) throws ExperimentException {
        Figures figures = Figures.empty();
        Figures baseline = Figures.empty();
        for (int routes : ROUTES) {
            String[] millis = measure(routes, seed).split(" ");
            figures.and("ms_" + routes, Double.parseDouble(millis[0]));
            baseline.and("ms_" + routes, Double.parseDouble(millis[1]));
        }
        return Report.of(figures, baseline).note("versions arrive compressed from another node");
    }

    private static String measure(int routes, long seed) throws ExperimentException {
        int versions = routes > 5_000 ? 12 : 100;
        List<String> command = new ArrayList<>(List.of("java"));
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", JAR.toString(), "dev.zinniaring.platform.DocumentCost"));
        command.addAll(List.of("" + routes, "" + versions, "" + seed));
        try {
            Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
            String output =
                    new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                            .trim();
            if (process.waitFor() != 0) {
                throw new ExperimentException("the measuring process failed: " + output);
            }
            return output;
        } catch (IOException e) {
            throw new ExperimentException("the measuring process did not run", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ExperimentException("interrupted", e);
        }
    }
}
