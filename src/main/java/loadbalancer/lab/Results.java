package loadbalancer.lab;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.lab.scenario.BadScenario;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/**
 * A folder of results: {@code head.json} says of what, {@code runs.jsonl} and {@code runs.csv} have
 * a line for each run, {@code summary.csv} one for each point and contender. While an experiment
 * runs, what is finished lies in {@code runs.part.jsonl}, in the order of finishing.
 */
final class Results {
    static final ObjectMapper JSON = new ObjectMapper();
    static final String PART = "runs.part.jsonl";

    final JsonNode head;
    final List<Row> rows;

    Results(JsonNode head, List<Row> rows) {
        this.head = head;
        this.rows = rows;
    }

    /**
     * Reads a folder; a line that was cut off by an end in the middle of writing is passed over.
     */
    static Results read(Path folder) throws BadScenario {
        try {
            JsonNode head = JSON.readTree(Files.readString(folder.resolve("head.json")));
            List<Row> rows = new ArrayList<>();
            for (String name : List.of("runs.jsonl", PART)) {
                if (Files.exists(folder.resolve(name))) {
                    for (String line : Files.readAllLines(folder.resolve(name))) {
                        parse(line, rows);
                    }
                }
            }
            return new Results(head, rows);
        } catch (IOException e) {
            throw new BadScenario(
                    folder.toString(), "expected a folder of results with a head.json");
        }
    }

    private static void parse(String line, List<Row> rows) {
        try {
            rows.add(JSON.readValue(line, Row.class));
        } catch (JsonProcessingException e) {
            // The process ended while it wrote this line; the run is played again.
            return;
        }
    }

    static void writeHead(Path folder, Experiment e) throws IOException {
        Files.createDirectories(folder);
        Files.writeString(
                folder.resolve("head.json"),
                JSON.writerWithDefaultPrettyPrinter().writeValueAsString(e.head()) + "\n");
    }

    /** Writes all tables anew, in the order of the experiment, and drops the part. */
    void write(Path folder) throws IOException {
        rows.sort(
                Comparator.comparingInt(Row::cell)
                        .thenComparing(r -> policies().indexOf(r.policy()))
                        .thenComparingLong(Row::seed));
        try (BufferedWriter out = Files.newBufferedWriter(folder.resolve("runs.jsonl"))) {
            for (Row row : rows) {
                out.write(JSON.writeValueAsString(row));
                out.write('\n');
            }
        }
        writeRuns(folder);
        writeSummary(folder);
        Files.deleteIfExists(folder.resolve(PART));
    }

    private void writeRuns(Path folder) throws IOException {
        Set<String> swept = swept();
        Set<String> figures = figures();
        List<String> head = new ArrayList<>(swept);
        head.addAll(List.of("policy", "seed"));
        head.addAll(figures);
        try (BufferedWriter out = Files.newBufferedWriter(folder.resolve("runs.csv"));
                CSVPrinter csv = table(out, head)) {
            for (Row row : rows) {
                List<Object> line = new ArrayList<>();
                swept.forEach(k -> line.add(row.at().get(k).asText(row.at().get(k).toString())));
                line.add(row.policy());
                line.add(row.seed());
                Map<String, Double> values = row.figures();
                figures.forEach(f -> line.add(values.get(f)));
                csv.printRecord(line);
            }
        }
    }

    private void writeSummary(Path folder) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(folder.resolve("summary.csv"));
                CSVPrinter csv =
                        table(
                                out,
                                List.of(
                                        "point",
                                        "policy",
                                        "figure",
                                        "mean",
                                        "half_interval_95",
                                        "runs"))) {
            for (Map.Entry<String, Map<String, List<Row>>> place : byPlace().entrySet()) {
                for (Map.Entry<String, List<Row>> policy : place.getValue().entrySet()) {
                    for (String figure : figures()) {
                        Interval i = interval(policy.getValue(), figure);
                        csv.printRecord(
                                place.getKey(),
                                policy.getKey(),
                                figure,
                                i.mean(),
                                Double.isInfinite(i.half()) ? "" : i.half(),
                                i.count());
                    }
                }
            }
        }
    }

    private static CSVPrinter table(BufferedWriter out, List<String> head) throws IOException {
        return new CSVPrinter(
                out,
                CSVFormat.DEFAULT
                        .builder()
                        .setHeader(head.toArray(String[]::new))
                        .setRecordSeparator('\n')
                        .get());
    }

    /** Mean and interval of one figure; a recovery of -1, which means never, is left out. */
    static Interval interval(List<Row> rows, String figure) {
        return Interval.of(
                rows.stream()
                        .map(r -> r.figures().get(figure))
                        .filter(v -> v != null && !(figure.endsWith("_recovery_s") && v < 0))
                        .toList());
    }

    Set<String> swept() {
        Set<String> keys = new LinkedHashSet<>();
        rows.forEach(r -> keys.addAll(r.at().keySet()));
        return keys;
    }

    Set<String> figures() {
        Set<String> names = new LinkedHashSet<>();
        rows.forEach(r -> names.addAll(r.figures().keySet()));
        return names;
    }

    List<String> policies() {
        List<String> names = new ArrayList<>();
        head.path("policies").forEach(p -> names.add(p.asText()));
        return names;
    }

    /** The runs of each point of the sweep, by contender, in order. */
    Map<String, Map<String, List<Row>>> byPlace() {
        Map<String, Map<String, List<Row>>> all = new LinkedHashMap<>();
        for (Row row : rows) {
            all.computeIfAbsent(row.place(), k -> new LinkedHashMap<>())
                    .computeIfAbsent(row.policy(), k -> new ArrayList<>())
                    .add(row);
        }
        return all;
    }
}
