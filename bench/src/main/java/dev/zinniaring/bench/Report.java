package dev.zinniaring.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The result of an experiment: figures, and the same fields for the baseline. Where several
 * deployments were run, the figures hold the worst of each field.
 */
public final class Report {
    private static final JsonMapper MAPPER = new JsonMapper();

    private final Map<String, Object> fields = new LinkedHashMap<>();

    private Report(Figures figures, Figures baseline) {
        fields.put("figures", figures.toMap());
        fields.put("baseline", baseline.toMap());
    }

    /** Returns a report. */
    public static Report of(Figures figures, Figures baseline) {
        return new Report(figures, baseline);
    }

    /** Adds the figures of one deployment. */
    public Report deployment(String name, Figures figures, Figures baseline) {
        @SuppressWarnings("unchecked")
        Map<String, Object> deployments =
                (Map<String, Object>)
                        fields.computeIfAbsent("deployments", key -> new LinkedHashMap<>());
        deployments.put(name, Map.of("figures", figures.toMap(), "baseline", baseline.toMap()));
        return this;
    }

    /** Adds a remark that the reader of the figures needs. */
    public Report note(String text) {
        fields.put("note", text);
        return this;
    }

    /** Returns the report as one line of JSON. */
    String toJson(String experiment, long seed) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("experiment", experiment);
        line.put("seed", seed);
        line.putAll(fields);
        try {
            return MAPPER.writeValueAsString(line);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a report of plain values could not be written", e);
        }
    }
}
