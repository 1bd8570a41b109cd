package dev.zinniaring.ctl;

import dev.zinniaring.publish.PublishException;
import org.kohsuke.args4j.Option;

/** A subcommand, whose options and arguments args4j sets as fields. */
abstract class Command {
    /** Output format of results. */
    enum Output {
        TEXT,
        JSON
    }

    @Option(
            name = "--settings",
            metaVar = "FILE",
            usage = "settings file (default zinniarctl.json)")
    private String settings = "zinniarctl.json";

    @Option(name = "--output", metaVar = "text|json", usage = "output format (default text)")
    private Output output = Output.TEXT;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    final String settings() {
        return settings;
    }

    final boolean json() {
        return output == Output.JSON;
    }

    final boolean help() {
        return help;
    }

    /** Returns whether the command accesses the platform or nodes, which requires the settings. */
    boolean needsSettings() {
        return true;
    }

    /** Executes the command and writes its result. */
    abstract void run(Dependencies dependencies, Console console)
            throws CtlException, PublishException;

    /** Provides the injected dependencies; throws for a command that does not need settings. */
    interface Dependencies {
        CtlComponent get();
    }
}
