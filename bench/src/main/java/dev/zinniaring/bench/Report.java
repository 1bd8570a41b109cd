package dev.zinniaring.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The result of an experiment: its figures and those of the baseline. If several deployments were
 * measured, the figures hold the worst value of each field.
 */
public final class Report {
    private static final JsonMapper MAPPER = new JsonMapper();

    private final Map<String, Object> fields = new LinkedHashMap<>();

    private Report(Figures figures, Figures baseline) {
        fields.put("figures", figures.toMap());
        fields.put("baseline", baseline.toMap());
    }

    /** Returns a report without deployments or a note. */
    public static Report of(Figures figures, Figures baseline) {
        return new Report(figures, baseline);
    }

    /** Adds the figures of a single deployment. */
    public Report deployment(String name, Figures figures, Figures baseline) {
        @SuppressWarnings("unchecked")
        Map<String, Object> deployments =
                (Map<String, Object>)
                        fields.computeIfAbsent("deployments", key -> new LinkedHashMap<>());
        deployments.put(name, Map.of("figures", figures.toMap(), "baseline", baseline.toMap()));
        return this;
    }

    /** Sets a remark that helps to interpret the figures. */
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
            throw new IllegalStateException("report cannot be serialized to JSON", e);
        }
    }
}
