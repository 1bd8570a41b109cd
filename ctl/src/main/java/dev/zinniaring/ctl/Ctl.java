package dev.zinniaring.ctl;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.zinniaring.kernel.Clock;
import dev.zinniaring.kernel.SettingsException;
import dev.zinniaring.publish.PublishConflictException;
import dev.zinniaring.publish.PublishException;
import dev.zinniaring.publish.PublishOutcomeUnknownException;
import dev.zinniaring.publish.PublishRefusedException;
import dev.zinniaring.publish.PublishUnavailableException;
import dev.zinniaring.store.Pause;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/**
 * The operators' command line tool, {@code zinniarctl}. Its streams and clock are injected for
 * tests.
 *
 * <pre>{@code
 * int status = new Ctl(System.out, System.err, Clock.system(), Pause.blocking()).run(args);
 * }</pre>
 */
public final class Ctl {
    private static final int USAGE_WIDTH = 100;
    private static final List<String> OPTIONS_WITH_VALUE = List.of("--settings", "--output");

    private static final Map<String, Supplier<Command>> COMMANDS = new LinkedHashMap<>();

    static {
        COMMANDS.put("validate", ValidateCommand::new);
        COMMANDS.put("diff", DiffCommand::new);
        COMMANDS.put("apply", ApplyCommand::new);
        COMMANDS.put("get", GetCommand::new);
        COMMANDS.put("history", HistoryCommand::new);
        COMMANDS.put("rollback", RollbackCommand::new);
        COMMANDS.put("status", StatusCommand::new);
        COMMANDS.put("dump", DumpCommand::new);
        COMMANDS.put("resolve", ResolveCommand::new);
    }

    private final PrintStream out;
    private final PrintStream err;
    private final Clock clock;
    private final Pause pause;

    /**
     * Creates the tool.
     *
     * @param out receives results
     * @param err receives progress and errors
     */
    public Ctl(PrintStream out, PrintStream err, Clock clock, Pause pause) {
        this.out = out;
        this.err = err;
        this.clock = clock;
        this.pause = pause;
    }

    /** Executes one command line and returns its exit status. */
    public int run(String... args) {
        List<String> rest = new ArrayList<>(List.of(args));
        String name = takeCommand(rest);
        Supplier<Command> factory = COMMANDS.get(name);
        if (factory == null) {
            return runWithoutCommand(name, rest).code();
        }
        return run(name, factory.get(), rest).code();
    }

    /**
     * Removes and returns the first argument that is neither an option nor an option's value;
     * returns an empty string if there is none.
     */
    private static String takeCommand(List<String> args) {
        for (int i = 0; i < args.size(); i++) {
            if (OPTIONS_WITH_VALUE.contains(args.get(i))) {
                i++;
            } else if (!args.get(i).startsWith("-")) {
                return args.remove(i);
            }
        }
        return "";
    }

    /** Handles {@code --version}, {@code --help}, and a missing or unknown command. */
    private ExitStatus runWithoutCommand(String name, List<String> rest) {
        if (name.isEmpty() && rest.contains("--version")) {
            String version = Ctl.class.getPackage().getImplementationVersion();
            out.println("zinniarctl " + (version == null ? "development" : version));
            return ExitStatus.OK;
        }
        String overview =
                "usage: zinniarctl COMMAND [OPTIONS]\ncommands: "
                        + String.join(", ", COMMANDS.keySet())
                        + "\nzinniarctl COMMAND --help lists the options of a command";
        if (name.isEmpty() && rest.contains("--help")) {
            out.println(overview);
            return ExitStatus.OK;
        }
        err.println(name.isEmpty() ? "error: no command" : "error: unknown command " + name);
        err.println(overview);
        return ExitStatus.USAGE;
    }

    private ExitStatus run(String name, Command command, List<String> args) {
        CmdLineParser parser =
                new CmdLineParser(
                        command,
                        ParserProperties.defaults()
                                .withUsageWidth(USAGE_WIDTH)
                                .withShowDefaults(false));
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            err.println("error: " + e.getMessage());
            err.println("zinniarctl " + name + " --help lists the options");
            return ExitStatus.USAGE;
        }
        if (command.help()) {
            out.println("usage: zinniarctl " + name + " [OPTIONS] [ARGUMENTS]");
            parser.printUsage(out);
            return ExitStatus.OK;
        }
        return run(command, new Console(out, err, command.json()));
    }

    private ExitStatus run(Command command, Console console) {
        try {
            if (command.needsSettings()) {
                runWithDependencies(command, console);
            } else {
                command.run(Ctl::noDependencies, console);
            }
            return ExitStatus.OK;
        } catch (CtlException e) {
            return fail(console, e.status(), e);
        } catch (PublishException e) {
            return fail(console, status(e), e);
        } catch (RuntimeException e) {
            return fail(console, ExitStatus.INTERNAL, e);
        }
    }

    private static CtlComponent noDependencies() {
        throw new IllegalStateException("a command without settings has no dependencies");
    }

    private void runWithDependencies(Command command, Console console)
            throws CtlException, PublishException {
        CtlComponent component =
                DaggerCtlComponent.factory()
                        .create(settings(command.settings()), console, clock, pause);
        try (var http = component.http();
                var nodes = component.nodes()) {
            command.run(() -> component, console);
        }
    }

    private static CtlSettings settings(String file) throws CtlException {
        try {
            return CtlSettings.parse(Files.readString(Path.of(file)));
        } catch (SettingsException e) {
            throw new CtlException(
                    ExitStatus.USAGE,
                    "the settings in " + file + " are not valid:\n" + e.getMessage(),
                    e);
        } catch (IOException | InvalidPathException e) {
            throw new CtlException(ExitStatus.USAGE, "cannot read settings " + file, e);
        }
    }

    private static ExitStatus status(PublishException e) {
        if (e instanceof PublishRefusedException) {
            return ExitStatus.REFUSED;
        }
        if (e instanceof PublishConflictException) {
            return ExitStatus.CONFLICT;
        }
        if (e instanceof PublishOutcomeUnknownException) {
            return ExitStatus.UNKNOWN;
        }
        return e instanceof PublishUnavailableException
                ? ExitStatus.UNAVAILABLE
                : ExitStatus.INTERNAL;
    }

    private static ExitStatus fail(Console console, ExitStatus status, Exception e) {
        ObjectNode details = Console.object();
        if (e instanceof PublishConflictException conflict) {
            details.put("winner", conflict.latestNumber());
        }
        if (e instanceof PublishOutcomeUnknownException unknown) {
            details.put("token", unknown.token());
        }
        String message = e instanceof RuntimeException ? "internal error: " + e : e.getMessage();
        console.error(status, String.valueOf(message), details);
        return status;
    }
}
