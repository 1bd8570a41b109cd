package dev.zinniaring.ctl;

import dev.zinniaring.publish.PublishException;
import org.kohsuke.args4j.Option;

/** One subcommand; args4j fills in its fields. */
abstract class Command {
    /** How results are written. */
    enum Output {
        TEXT,
        JSON
    }

    @Option(name = "--settings", metaVar = "FILE", usage = "settings (default zinniarctl.json)")
    private String settings = "zinniarctl.json";

    @Option(name = "--output", metaVar = "text|json", usage = "how the result is written")
    private Output output = Output.TEXT;

    @Option(name = "--help", help = true, usage = "print this text")
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

    /** Returns whether the command uses the platform or nodes, and thus the settings. */
    boolean needsSettings() {
        return true;
    }

    /** Carries out the command and writes its result. */
    abstract void run(Parts parts, Console console) throws CtlException, PublishException;

    /** Gives the wired parts; fails for a command that does not need settings. */
    interface Parts {
        CtlComponent get();
    }
}
