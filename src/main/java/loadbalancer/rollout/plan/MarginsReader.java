package loadbalancer.rollout.plan;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads the margins of a plan file. Stateless. */
final class MarginsReader {
    private static final double MIN_MARGIN = 0.001;
    private static final double MAX_MARGIN = 1;

    /** Bounds the counters, of which each balancer publishes a set per class and window. */
    private static final int MAX_CLASSES = 8;

    /** Ensures that the name fits in a topic. */
    private static final int MAX_CLASS_NAME_LENGTH = 48;

    private MarginsReader() {}

    /**
     * Reads the margins of the process and of classes without margins of their own.
     *
     * @throws InvalidPlanException if the section is invalid
     */
    static Map<Metric, Double> readDefaults(PlanSection section) throws InvalidPlanException {
        Map<Metric, Double> margins = new EnumMap<>(Metric.class);
        for (Metric metric : Metric.values()) {
            margins.put(metric, margin(section, metric, metric.defaultMargin()));
        }
        section.requireKnownKeys(List.of(Metric.values()).stream().map(Metric::key).toList());
        return margins;
    }

    /**
     * Reads the margins of classes with margins of their own, by name.
     *
     * @throws InvalidPlanException if the section is invalid
     */
    static Map<String, Map<Metric, Double>> readClasses(JsonNode node, Map<Metric, Double> defaults)
            throws InvalidPlanException {
        new PlanSection(PlanFieldNames.CLASS_MARGINS, node).requireTable();
        Map<String, Map<Metric, Double>> marginsByClass = new TreeMap<>();
        for (var entry : node.properties()) {
            String name = entry.getKey();
            String place = PlanFieldNames.CLASS_MARGINS + "." + name;
            if (!isClassName(name) || marginsByClass.size() == MAX_CLASSES) {
                throw new InvalidPlanException(
                        place,
                        "expected at most "
                                + MAX_CLASSES
                                + " classes with names of 1 to "
                                + MAX_CLASS_NAME_LENGTH
                                + " characters, "
                                + Plan.OTHER_CLASSES
                                + " is reserved");
            }
            PlanSection section = new PlanSection(place + ".", entry.getValue());
            marginsByClass.put(name, readClass(section, defaults));
        }
        return marginsByClass;
    }

    private static boolean isClassName(String name) {
        return !name.isEmpty()
                && name.length() <= MAX_CLASS_NAME_LENGTH
                && !name.equals(Plan.OTHER_CLASSES);
    }

    private static Map<Metric, Double> readClass(PlanSection section, Map<Metric, Double> defaults)
            throws InvalidPlanException {
        List<String> knownKeys = new ArrayList<>();
        Map<Metric, Double> margins = new EnumMap<>(Metric.class);
        for (Metric metric : Metric.values()) {
            if (!metric.isProcessMetric()) {
                knownKeys.add(metric.key());
                margins.put(metric, margin(section, metric, defaults.get(metric)));
            }
        }
        section.requireKnownKeys(knownKeys);
        return margins;
    }

    private static double margin(PlanSection section, Metric metric, double defaultMargin)
            throws InvalidPlanException {
        return section.optionalDouble(metric.key(), MIN_MARGIN, MAX_MARGIN, defaultMargin);
    }
}
