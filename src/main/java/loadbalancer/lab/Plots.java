package loadbalancer.lab;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import loadbalancer.lab.sim.Result;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots as SVG text that can stand within a page. */
final class Plots {
    private static final Pattern CLIP = Pattern.compile("clip(-?\\d+)");

    static {
        System.setProperty("java.awt.headless", "true");
    }

    private Plots() {}

    private static XYChart chart(String title, String x, String y) {
        XYChart chart =
                new XYChartBuilder()
                        .width(900)
                        .height(420)
                        .title(title)
                        .xAxisTitle(x)
                        .yAxisTitle(y)
                        .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setChartBackgroundColor(java.awt.Color.WHITE);
        return chart;
    }

    private static String svg(XYChart chart) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        String text = out.toString(StandardCharsets.UTF_8);
        // The names of clips come from memory addresses; numbered in turn, the same plot is the
        // same text.
        Map<String, Integer> names = new HashMap<>();
        String title = chart.getTitle().replaceAll("[^A-Za-z0-9]", "");
        String stable =
                CLIP.matcher(text)
                        .replaceAll(
                                m ->
                                        "clip"
                                                + title
                                                + names.computeIfAbsent(
                                                        m.group(1), k -> names.size()));
        return stable.substring(stable.indexOf("<svg"));
    }

    static String overSweep(
            String figure, String x, Map<String, TreeMap<Double, Interval>> curves) {
        XYChart chart = chart(figure + " over " + x, x, figure);
        boolean wide =
                curves.values().stream()
                        .allMatch(
                                c ->
                                        c.size() > 2
                                                && c.firstKey() > 0
                                                && c.lastKey() / c.firstKey() >= 20);
        chart.getStyler().setXAxisLogarithmic(wide);
        curves.forEach(
                (name, curve) -> {
                    List<Double> xs = new ArrayList<>(curve.keySet());
                    List<Double> ys = curve.values().stream().map(Interval::mean).toList();
                    List<Double> bars =
                            curve.values().stream()
                                    .map(i -> Double.isFinite(i.half()) ? i.half() : 0.0)
                                    .toList();
                    chart.addSeries(name, xs, ys, bars).setMarker(SeriesMarkers.CIRCLE);
                });
        return svg(chart);
    }

    static String latency(String place, Map<String, List<Row>> byPolicy) {
        XYChart chart = chart("latency, " + place, "nines: 1 is p90, 2 is p99, 3 is p99.9", "ms");
        chart.getStyler().setYAxisLogarithmic(true);
        byPolicy.forEach(
                (policy, rows) ->
                        rows.get(0)
                                .result()
                                .latency()
                                .keySet()
                                .forEach(
                                        cls -> {
                                            double[] ys = new double[4];
                                            for (Row row : rows) {
                                                Result.Latency l = row.result().latency().get(cls);
                                                double[] one = {
                                                    l.p50Ms(), l.p90Ms(), l.p99Ms(), l.p999Ms()
                                                };
                                                for (int i = 0; i < ys.length; i++) {
                                                    ys[i] += Math.max(0.001, one[i]) / rows.size();
                                                }
                                            }
                                            chart.addSeries(
                                                    policy + " " + cls,
                                                    new double[] {0.301, 1, 2, 3},
                                                    ys);
                                        }));
        return svg(chart);
    }

    static String overTime(Row row) {
        XYChart chart = chart("over time, " + row.place() + ", " + row.policy(), "s", "share");
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.05);
        row.result().loads().forEach((kind, loads) -> add(chart, "busy " + kind, loads));
        add(
                chart,
                "worth served",
                row.result().seconds().stream().map(s -> s[0] == 0 ? 1 : s[1] / s[0]).toList());
        return svg(chart);
    }

    private static void add(XYChart chart, String name, List<Double> values) {
        if (!values.isEmpty()) {
            double[] xs =
                    java.util.stream.IntStream.range(0, values.size()).asDoubleStream().toArray();
            chart.addSeries(name, xs, values.stream().mapToDouble(v -> v).toArray())
                    .setMarker(SeriesMarkers.NONE);
        }
    }
}
