package loadbalancer.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The derived figures of a page in Markdown. Tables whose head is {@link #HEAD} define them, one a
 * row; the source is a CSV file in the folder beside the page, or a word for what comes from
 * elsewhere. In other places a figure is quoted as a number with its id in a comment behind it:
 * {@code 42<!--answer-->}.
 */
public final class CapacityPage {
    /** The first row of a table of derived figures. */
    public static final String HEAD = "| id | value | unit | formula | source |";

    private static final Pattern NUMBER = Pattern.compile("-?[0-9][0-9,]*(?:\\.[0-9]+)?");
    private static final Pattern QUOTED = Pattern.compile("(" + NUMBER + ")?<!--([a-z0-9_]+)-->");

    /** One figure: as the page has it, and as it is recomputed. */
    public record Figure(String id, String printed, double recomputed) {
        /** Whether the page's number is the recomputed one, rounded to the digits that it has. */
        public boolean agrees() {
            String plain = printed.replace(",", "");
            int point = plain.indexOf('.');
            int decimals = point < 0 ? 0 : plain.length() - point - 1;
            double half = 0.5 * Math.pow(10, -decimals);
            return Math.abs(Double.parseDouble(plain) - recomputed) <= half * (1 + 1e-6);
        }
    }

    private final Path folder;
    private final Map<String, Samples> sources = new HashMap<>();
    private final Map<String, Double> known = new HashMap<>();
    private final List<Figure> figures = new ArrayList<>();

    private CapacityPage(Path folder) {
        this.folder = folder;
    }

    /** Recomputes all figures of a page from the samples in a folder, in the page's order. */
    public static List<Figure> recompute(Path page, Path folder) throws IOException {
        CapacityPage read = new CapacityPage(folder);
        List<String> lines = Files.readAllLines(page);
        read.define(lines);
        lines.forEach(read::quotes);
        return List.copyOf(read.figures);
    }

    private void define(List<String> lines) throws IOException {
        boolean inside = false;
        for (String line : lines) {
            inside = line.equals(HEAD) || inside && line.startsWith("|");
            if (inside && !line.equals(HEAD) && !line.startsWith("| ---")) {
                define(line);
            }
        }
    }

    private void define(String line) throws IOException {
        String[] cells = line.substring(1).split("\\|");
        if (cells.length != 5) {
            throw new BadPage("five cells are needed: " + line);
        }
        String id = cells[0].trim();
        String source = cells[4].trim();
        Samples samples = source.endsWith(".csv") ? source(source) : new Samples(List.of());
        try {
            add(id, cells[1].trim(), Formula.evaluate(cells[3].replace("`", ""), samples, known));
        } catch (BadPage e) {
            throw new BadPage(id + ": " + e.getMessage());
        }
    }

    private Samples source(String name) throws IOException {
        if (!sources.containsKey(name)) {
            sources.put(name, new Samples(SampleFile.read(folder.resolve(name))));
        }
        return sources.get(name);
    }

    private void add(String id, String printed, double value) {
        if (known.put(id, value) != null) {
            throw new BadPage("two figures have the id " + id);
        }
        figures.add(new Figure(id, number(id, printed), value));
    }

    private void quotes(String line) {
        Matcher matcher = QUOTED.matcher(line);
        while (matcher.find()) {
            String id = matcher.group(2);
            if (!known.containsKey(id)) {
                throw new BadPage("no figure has the id " + id + ", which is quoted");
            }
            figures.add(new Figure(id, number(id, matcher.group(1)), known.get(id)));
        }
    }

    private static String number(String id, String printed) {
        if (printed == null || !NUMBER.matcher(printed).matches()) {
            throw new BadPage(id + ": not a number: " + printed);
        }
        return printed;
    }
}
