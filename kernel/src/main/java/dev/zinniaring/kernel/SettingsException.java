package dev.zinniaring.kernel;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if settings are invalid. Carries all problems found, not only the first. */
public final class SettingsException extends KernelException {
    private static final long serialVersionUID = 1L;

    @SuppressWarnings("serial") // List.copyOf is serializable
    private final List<Problem> problems;

    /**
     * Creates the exception.
     *
     * @param problems all problems found, at least one
     */
    public SettingsException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns all problems found. */
    public List<Problem> problems() {
        return problems;
    }
}
