package loadbalancer.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import loadbalancer.lab.scenario.BadScenario;

/** Reports of results that lie in a folder. */
public final class Reports {
    private Reports() {}

    /** Writes {@code report.html} from what the folder has, and returns its path. */
    public static Path write(Path folder) throws BadScenario, IOException {
        Path page = folder.resolve("report.html");
        Files.writeString(page, new Report(Results.read(folder)).html());
        return page;
    }

    /**
     * Writes one plot of a figure over a swept key.
     *
     * @param policies the contenders to show; all if empty
     * @param where swept keys that must have these values
     */
    public static void plot(
            Path folder,
            String x,
            String figure,
            List<String> policies,
            Map<String, String> where,
            Path to)
            throws BadScenario, IOException {
        Results results = Results.read(folder);
        List<Row> rows =
                results.rows.stream()
                        .filter(r -> policies.isEmpty() || policies.contains(r.policy()))
                        .filter(
                                r ->
                                        where.entrySet().stream()
                                                .allMatch(
                                                        w ->
                                                                r.at().containsKey(w.getKey())
                                                                        && r.at().get(w.getKey())
                                                                                .asText()
                                                                                .equals(
                                                                                        w
                                                                                                .getValue())))
                        .toList();
        if (rows.isEmpty()
                || !rows.get(0).at().containsKey(x)
                || !rows.get(0).at().get(x).isNumber()
                || rows.stream().noneMatch(r -> r.figures().containsKey(figure))) {
            throw new BadScenario(
                    folder.toString(),
                    "nothing to plot; expected --x to be a swept number "
                            + "out of "
                            + results.swept()
                            + " and --figure one of "
                            + results.figures());
        }
        // What is the same everywhere says nothing in a legend.
        List<Row> shown =
                rows.stream()
                        .map(
                                r ->
                                        new Row(
                                                r.cell(),
                                                r.at().entrySet().stream()
                                                        .filter(e -> !where.containsKey(e.getKey()))
                                                        .collect(
                                                                Collectors.toMap(
                                                                        Map.Entry::getKey,
                                                                        Map.Entry::getValue,
                                                                        (a, b) -> a,
                                                                        LinkedHashMap::new)),
                                                r.policy(),
                                                r.seed(),
                                                r.result()))
                        .toList();
        Files.writeString(to, Plots.overSweep(figure, x, Curves.of(shown, x, figure)) + "\n");
    }
}
