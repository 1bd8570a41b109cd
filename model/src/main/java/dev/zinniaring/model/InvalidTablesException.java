package dev.zinniaring.model;

import dev.zinniaring.kernel.Problem;
import java.util.List;
import java.util.stream.Collectors;

/** The tables are invalid. Lists every problem found, not only the first. */
public final class InvalidTablesException extends Exception {
    private static final long serialVersionUID = 1L;

    @SuppressWarnings("serial") // List.copyOf is serializable
    private final List<Problem> problems;

    /**
     * Creates the exception.
     *
     * @param problems every problem found, at least one
     */
    public InvalidTablesException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns every problem found. */
    public List<Problem> problems() {
        return problems;
    }
}
