package dev.zinniaring.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Named figures of one run, in the order in which they were added. Values are numbers or further
 * figures.
 *
 * <pre>{@code
 * Figures.of("p99_ms", 1.2).and("calls_per_s", 2_000);
 * }</pre>
 */
public final class Figures {
    private static final double ROUNDING = 10_000;

    private final Map<String, Object> values = new LinkedHashMap<>();

    private Figures() {}

    /** Returns figures without any value. */
    public static Figures none() {
        return new Figures();
    }

    /** Returns figures with one value. */
    public static Figures of(String name, double value) {
        return none().and(name, value);
    }

    /** Adds a value, rounded to four decimals. */
    public Figures and(String name, double value) {
        values.put(name, rounded(value));
        return this;
    }

    /** Adds nested figures. */
    public Figures and(String name, Figures nested) {
        values.put(name, nested.values);
        return this;
    }

    /** Returns the largest value of each field, for fields where more is worse. */
    static Figures largest(List<Figures> all) {
        Figures largest = none();
        for (Figures figures : all) {
            figures.values.forEach(
                    (name, value) -> largest.values.merge(name, value, Figures::larger));
        }
        return largest;
    }

    /** Returns the smallest value of each field, for fields where less is worse. */
    static Figures smallest(List<Figures> all) {
        Figures smallest = none();
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

    /** Returns a number that was added. */
    public double get(String name) {
        Object value = values.get(name);
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw new IllegalArgumentException("no number named " + name + " in " + values);
    }

    /** Returns the figures as a map that Jackson can write. */
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
