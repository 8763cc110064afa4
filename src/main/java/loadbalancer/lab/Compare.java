package loadbalancer.lab;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.lab.scenario.BadScenario;

/** Two folders of results, or two contenders of one, held against each other seed by seed. */
public final class Compare {
    /** Figures of which less is better. */
    private static final List<String> LESS =
            List.of(
                    "waste",
                    "amplification",
                    "busy_share",
                    "client_tries",
                    "choked",
                    "breaches",
                    "refused");

    private Compare() {}

    /** The differences B - A of two folders, by point and contender, in lines of text. */
    public static String folders(Path a, Path b, List<String> figures) throws BadScenario {
        Results ra = Results.read(a);
        Results rb = Results.read(b);
        boolean byPolicy = ra.policies().stream().anyMatch(rb.policies()::contains);
        return lines(
                keyed(ra.rows, byPolicy),
                keyed(rb.rows, byPolicy),
                figures,
                "no point, contender and seed is in both " + a + " and " + b);
    }

    /** The differences between two contenders of one folder. */
    public static String policies(Path folder, String a, String b, List<String> figures)
            throws BadScenario {
        List<Row> rows = Results.read(folder).rows;
        return lines(
                keyed(rows.stream().filter(r -> r.policy().equals(a)).toList(), false),
                keyed(rows.stream().filter(r -> r.policy().equals(b)).toList(), false),
                figures,
                "no point and seed was played by both " + a + " and " + b);
    }

    private static Map<List<Object>, Row> keyed(List<Row> rows, boolean byPolicy) {
        Map<List<Object>, Row> keyed = new LinkedHashMap<>();
        rows.forEach(
                r ->
                        keyed.put(
                                List.of(r.place() + (byPolicy ? ", " + r.policy() : ""), r.seed()),
                                r));
        return keyed;
    }

    private static String lines(
            Map<List<Object>, Row> a, Map<List<Object>, Row> b, List<String> figures, String none) {
        Map<String, Map<String, List<Double>>> differences = new LinkedHashMap<>();
        a.forEach(
                (key, row) -> {
                    Row other = b.get(key);
                    if (other != null) {
                        Map<String, Double> fa = row.figures();
                        Map<String, Double> fb = other.figures();
                        Map<String, List<Double>> at =
                                differences.computeIfAbsent(
                                        key.get(0).toString(), k -> new LinkedHashMap<>());
                        figures.stream()
                                .filter(f -> fa.containsKey(f) && fb.containsKey(f))
                                .forEach(
                                        f ->
                                                at.computeIfAbsent(f, k -> new ArrayList<>())
                                                        .add(fb.get(f) - fa.get(f)));
                    }
                });
        if (differences.isEmpty()) {
            return none + "\n";
        }
        StringBuilder text = new StringBuilder();
        differences.forEach(
                (place, byFigure) ->
                        byFigure.forEach(
                                (figure, values) ->
                                        text.append(
                                                String.format(
                                                        Locale.ROOT,
                                                        "%-40s %-16s %s  %s%n",
                                                        place,
                                                        figure,
                                                        Interval.of(values).text(),
                                                        verdict(figure, Interval.of(values))))));
        return text.toString();
    }

    /** What a difference means, in a word. */
    static String verdict(String figure, Interval difference) {
        if (difference.noise()) {
            return "inside the noise";
        }
        boolean less =
                LESS.contains(figure) || figure.endsWith("_ms") || figure.endsWith("_recovery_s");
        return difference.mean() > 0 != less ? "better" : "worse";
    }
}
