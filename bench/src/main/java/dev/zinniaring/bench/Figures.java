package dev.zinniaring.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Named measurement results of one run, in insertion order. Values are numbers or nested figures.
 *
 * <pre>{@code
 * Figures.of("p99_ms", 1.2).and("calls_per_s", 2_000);
 * }</pre>
 */
public final class Figures {
    private static final double ROUNDING = 10_000;

    private final Map<String, Object> values = new LinkedHashMap<>();

    private Figures() {}

    /** Returns empty figures. */
    public static Figures empty() {
        return new Figures();
    }

    /** Returns figures with a single value. */
    public static Figures of(String name, double value) {
        return empty().and(name, value);
    }

    /** Adds a value, rounded to four decimal places. */
    public Figures and(String name, double value) {
        values.put(name, rounded(value));
        return this;
    }

    /** Adds nested figures. */
    public Figures and(String name, Figures nested) {
        values.put(name, nested.values);
        return this;
    }

    /** Returns the largest value of each field, for fields where higher is worse. */
    static Figures largest(List<Figures> all) {
        Figures largest = empty();
        for (Figures figures : all) {
            figures.values.forEach(
                    (name, value) -> largest.values.merge(name, value, Figures::larger));
        }
        return largest;
    }

    /** Returns the smallest value of each field, for fields where lower is worse. */
    static Figures smallest(List<Figures> all) {
        Figures smallest = empty();
        for (Figures figures : all) {
            figures.values.forEach(
                    (name, value) ->
                            smallest.values.merge(
                                    name, value, (a, b) -> larger(a, b) == a ? b : a));
        }
        return smallest;
    }

    private static Object larger(Object a, Object b) {
        if (a instanceof Number x && b instanceof Number y) {
            return x.doubleValue() >= y.doubleValue() ? a : b;
        }
        return a;
    }

    /**
     * Returns the number with the given name.
     *
     * @throws IllegalArgumentException if there is none
     */
    public double get(String name) {
        Object value = values.get(name);
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw new IllegalArgumentException("no numeric figure named " + name + " in " + values);
    }

    /** Returns the figures as a map that Jackson can serialize. */
    public Map<String, Object> toMap() {
        return values;
    }

    private static Number rounded(double value) {
        double scaled = Math.round(value * ROUNDING) / ROUNDING;
        if (scaled == Math.rint(scaled)) {
            return (long) scaled;
        }
        return scaled;
    }
}
