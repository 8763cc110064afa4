package loadbalancer.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.lab.sim.Result;

/** One page of HTML that needs nothing else: tables, and plots as SVG. */
final class Report {
    private static final List<String> SHOWN =
            List.of(
                    "g",
                    "whole",
                    "worst_window",
                    "worst_class",
                    "worst_tenant",
                    "waste",
                    "amplification",
                    "busy_share",
                    "client_tries",
                    "breaches");
    private static final int MOST_PLOTS = 6;
    private static final String STYLE =
            "body{font:15px/1.45 sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}"
                    + "table{border-collapse:collapse;margin:1em 0}"
                    + "td,th{border:1px solid #ccc;padding:.25em .6em;text-align:right}"
                    + "td:first-child,th:first-child,td:nth-child(2){text-align:left}"
                    + "svg{max-width:100%;height:auto}"
                    + ".noise{color:#777}.worse{color:#a00}.better{color:#060}";

    private final Results results;
    private final StringBuilder page = new StringBuilder();

    Report(Results results) {
        this.results = results;
    }

    String html() {
        String title = escape(results.head.path("title").asText());
        page.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(title)
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body>\n<h1>")
                .append(title)
                .append("</h1>\n<p>")
                .append(escape(results.head.path("about").asText()))
                .append("</p>\n<p>")
                .append(results.rows.size())
                .append(
                        " runs. Means with 95% intervals over the seeds; latency counts from the"
                                + " intended start of a request's first try.</p>\n");
        broken();
        overSweep();
        differences();
        latencies();
        overTime();
        recovery();
        return page.append("</body></html>\n").toString();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private void table(List<String> head, List<List<String>> lines) {
        page.append("<table><tr>");
        head.forEach(h -> page.append("<th>").append(escape(h)).append("</th>"));
        page.append("</tr>\n");
        for (List<String> line : lines) {
            page.append("<tr>");
            line.forEach(c -> page.append("<td>").append(escape(c)).append("</td>"));
            page.append("</tr>\n");
        }
        page.append("</table>\n");
    }

    private void broken() {
        List<List<String>> lines = new ArrayList<>();
        for (Row row : results.rows) {
            if (!row.result().kept()) {
                lines.add(
                        List.of(
                                row.place(),
                                row.policy(),
                                String.valueOf(row.seed()),
                                row.result().breaches().toString(),
                                row.result().breachTexts().get(0)));
            }
        }
        page.append("<h2>Rules</h2>\n<p>")
                .append(
                        lines.isEmpty()
                                ? "All four rules were kept in every run."
                                : "Rules were broken in "
                                        + lines.size()
                                        + " runs; the first of them:")
                .append("</p>\n");
        if (!lines.isEmpty()) {
            table(
                    List.of("point", "policy", "seed", "breaches by rule", "the first"),
                    lines.subList(0, Math.min(20, lines.size())));
        }
    }

    private void overSweep() {
        page.append("<h2>Figures by point</h2>\n");
        List<String> head = new ArrayList<>(List.of("point", "policy"));
        head.addAll(SHOWN);
        List<List<String>> lines = new ArrayList<>();
        results.byPlace()
                .forEach(
                        (place, byPolicy) ->
                                byPolicy.forEach(
                                        (policy, rows) -> {
                                            List<String> line =
                                                    new ArrayList<>(List.of(place, policy));
                                            SHOWN.forEach(
                                                    f ->
                                                            line.add(
                                                                    Results.interval(rows, f)
                                                                            .text()));
                                            lines.add(line);
                                        }));
        table(head, lines);
        Curves.widest(results)
                .ifPresent(
                        x -> {
                            for (String figure : List.of("g", "worst_window", "amplification")) {
                                page.append("<p>")
                                        .append(
                                                Plots.overSweep(
                                                        figure,
                                                        x,
                                                        Curves.of(results.rows, x, figure)))
                                        .append("</p>\n");
                            }
                        });
    }

    /** Every contender against the first, paired by seed. */
    private void differences() {
        if (results.policies().size() < 2) {
            return;
        }
        String first = results.policies().get(0);
        page.append("<h2>Differences from ")
                .append(escape(first))
                .append("</h2>\n<p>Of G, paired by seed." + "</p>\n");
        List<List<String>> lines = new ArrayList<>();
        results.byPlace()
                .forEach((place, byPolicy) -> addDifferences(lines, place, byPolicy, first));
        table(List.of("point", "policy", "difference", "verdict"), lines);
    }

    private static void addDifferences(
            List<List<String>> lines, String place, Map<String, List<Row>> byPolicy, String first) {
        Map<Long, Double> base = new TreeMap<>();
        for (Row row : byPolicy.getOrDefault(first, List.of())) {
            base.put(row.seed(), row.result().g());
        }
        byPolicy.forEach(
                (policy, rows) -> {
                    if (!policy.equals(first)) {
                        Interval difference = pairedDifference(rows, base);
                        String verdict = Compare.verdict("g", difference);
                        lines.add(List.of(place, policy, difference.text(), verdict));
                    }
                });
    }

    private static Interval pairedDifference(List<Row> rows, Map<Long, Double> base) {
        return Interval.of(
                rows.stream()
                        .filter(row -> base.containsKey(row.seed()))
                        .map(row -> row.result().g() - base.get(row.seed()))
                        .toList());
    }

    private void latencies() {
        page.append("<h2>Latency</h2>\n");
        List<List<String>> lines = new ArrayList<>();
        results.byPlace()
                .forEach(
                        (place, byPolicy) ->
                                byPolicy.forEach(
                                        (policy, rows) ->
                                                addLatencies(lines, place, policy, rows)));
        List<String> head =
                List.of(
                        "point",
                        "policy",
                        "class",
                        "share served",
                        "p50 ms",
                        "p90 ms",
                        "p99 ms",
                        "p99.9 ms");
        table(head, lines);
        int plots = 0;
        for (Map.Entry<String, Map<String, List<Row>>> place : results.byPlace().entrySet()) {
            if (plots++ < MOST_PLOTS) {
                page.append("<p>")
                        .append(Plots.latency(place.getKey(), place.getValue()))
                        .append("</p>\n");
            }
        }
    }

    private static void addLatencies(
            List<List<String>> lines, String place, String policy, List<Row> rows) {
        for (String className : rows.get(0).result().latency().keySet()) {
            lines.add(
                    List.of(
                            place,
                            policy,
                            className,
                            mean(rows, className, Result.Latency::share),
                            mean(rows, className, Result.Latency::p50Ms),
                            mean(rows, className, Result.Latency::p90Ms),
                            mean(rows, className, Result.Latency::p99Ms),
                            mean(rows, className, Result.Latency::p999Ms)));
        }
    }

    private static String mean(
            List<Row> rows, String cls, java.util.function.ToDoubleFunction<Result.Latency> what) {
        return String.format(
                Locale.ROOT,
                "%.3f",
                rows.stream()
                        .mapToDouble(r -> what.applyAsDouble(r.result().latency().get(cls)))
                        .average()
                        .orElse(0));
    }

    private void overTime() {
        page.append(
                "<h2>Over time</h2>\n"
                        + "<p>Of each point's first seed: how busy each kind of server was, and the"
                        + " share of the worth served, by the second in which requests were"
                        + " due.</p>\n");
        int plots = 0;
        for (Map<String, List<Row>> byPolicy : results.byPlace().values()) {
            for (List<Row> rows : byPolicy.values()) {
                if (plots++ < MOST_PLOTS) {
                    page.append("<p>").append(Plots.overTime(rows.get(0))).append("</p>\n");
                }
            }
        }
    }

    private void recovery() {
        List<List<String>> lines = new ArrayList<>();
        results.byPlace()
                .forEach(
                        (place, byPolicy) ->
                                byPolicy.forEach(
                                        (policy, rows) ->
                                                addRecoveries(lines, place, policy, rows)));
        if (!lines.isEmpty()) {
            page.append(
                    "<h2>Recovery</h2>\n"
                        + "<p>Seconds from a trouble's end until service was at 95% of what it had"
                        + " been, over two seconds.</p>\n");
            table(
                    List.of("point", "policy", "trouble", "kind", "mean s", "longest s", "never"),
                    lines);
        }
    }

    private static void addRecoveries(
            List<List<String>> lines, String place, String policy, List<Row> rows) {
        rows.get(0)
                .result()
                .recovery()
                .forEach(
                        (fault, first) -> {
                            List<Double> seconds =
                                    rows.stream()
                                            .map(
                                                    row ->
                                                            row.result()
                                                                    .recovery()
                                                                    .get(fault)
                                                                    .recoveryS())
                                            .toList();
                            lines.add(recoveryLine(place, policy, fault, first.kind(), seconds));
                        });
    }

    /** Seconds below 0 stand for a run in which service never came back. */
    private static List<String> recoveryLine(
            String place, String policy, String fault, String kind, List<Double> seconds) {
        long never = seconds.stream().filter(value -> value < 0).count();
        double longest = seconds.stream().mapToDouble(value -> value).max().orElse(0);
        return List.of(
                place,
                policy,
                fault,
                kind,
                Interval.of(seconds.stream().filter(value -> value >= 0).toList()).text(),
                String.format(Locale.ROOT, "%.1f", longest),
                never + " of " + seconds.size());
    }
}
