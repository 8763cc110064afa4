package loadbalancer.lab;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Means with intervals of one figure over one swept key: a curve for each contender and further
 * setting.
 */
final class Curves {
    private Curves() {}

    /** The swept key with the most values that are numbers. */
    static Optional<String> widest(Results results) {
        return results.swept().stream()
                .filter(k -> results.rows.stream().allMatch(r -> r.at().get(k).isNumber()))
                .max(
                        Comparator.comparingLong(
                                k ->
                                        results.rows.stream()
                                                .map(r -> r.at().get(k))
                                                .distinct()
                                                .count()));
    }

    static Map<String, TreeMap<Double, Interval>> of(List<Row> rows, String x, String figure) {
        Map<String, TreeMap<Double, List<Row>>> groups = new LinkedHashMap<>();
        for (Row row : rows) {
            groups.computeIfAbsent(name(row, x), k -> new TreeMap<>())
                    .computeIfAbsent(row.at().get(x).asDouble(), k -> new ArrayList<>())
                    .add(row);
        }
        Map<String, TreeMap<Double, Interval>> curves = new LinkedHashMap<>();
        groups.forEach(
                (name, points) -> {
                    TreeMap<Double, Interval> curve = new TreeMap<>();
                    points.forEach(
                            (at, some) -> {
                                Interval i = Results.interval(some, figure);
                                if (i.count() > 0) {
                                    curve.put(at, i);
                                }
                            });
                    if (!curve.isEmpty()) {
                        curves.put(name, curve);
                    }
                });
        return curves;
    }

    private static String name(Row row, String x) {
        StringBuilder name = new StringBuilder(row.policy());
        row.at()
                .forEach(
                        (k, v) -> {
                            if (!k.equals(x)) {
                                name.append(", ")
                                        .append(k.substring(k.lastIndexOf('.') + 1))
                                        .append(' ')
                                        .append(v.asText(v.toString()));
                            }
                        });
        return name.toString();
    }
}
