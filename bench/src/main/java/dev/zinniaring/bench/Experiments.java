package dev.zinniaring.bench;

import java.util.List;
import java.util.Optional;

/** All experiments, in the order in which {@code --list} prints them. */
final class Experiments {
    static final List<Experiment> ALL =
            List.of(
                    new AddedLatencyExperiment(),
                    new BalanceExperiment(),
                    new CallCostExperiment(),
                    new ConfigurationVersionsExperiment(),
                    new ConvergenceExperiment(),
                    new CrashingRequestExperiment(),
                    new EndingRequestExperiment(),
                    new OddRowsExperiment(),
                    new PartitionExperiment(),
                    new RankFloodExperiment(),
                    new RestartStormExperiment(),
                    new RetryAmplificationExperiment(),
                    new RollingRestartExperiment(),
                    new ScaleSlopesExperiment());

    private Experiments() {}

    static Optional<Experiment> named(String name) {
        return ALL.stream().filter(experiment -> experiment.name().equals(name)).findFirst();
    }
}
