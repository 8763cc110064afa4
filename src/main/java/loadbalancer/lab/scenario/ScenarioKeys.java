package loadbalancer.lab.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All keys of a scenario, read from the one table that the reference page is made of too. */
public final class ScenarioKeys {
    private static final ScenarioKeys ALL = new ScenarioKeys(table());

    private final Map<String, Map<String, Key>> sections = new LinkedHashMap<>();
    private final Map<String, String> titles = new LinkedHashMap<>();

    private ScenarioKeys(String table) {
        String section = null;
        for (String line : table.split("\n")) {
            if (line.startsWith("[")) {
                section = line.substring(1, line.indexOf(']'));
                titles.put(section, line.substring(line.indexOf(']') + 1).strip());
                sections.put(section, new LinkedHashMap<>());
            } else if (!line.isBlank()) {
                Key key = Key.of(section, line);
                sections.get(section).put(key.name(), key);
            }
        }
    }

    private static String table() {
        try (InputStream in =
                ScenarioKeys.class.getResourceAsStream("/loadbalancer/lab/keys.txt")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException("the table of keys is missing from the program", e);
        }
    }

    static ScenarioKeys all() {
        return ALL;
    }

    /** Sections that come any number of times, each under a name: {@code [kind.fast]}. */
    boolean named(String section) {
        return sections.containsKey(section + ".NAME");
    }

    /** The keys of a plain or a named section; null if there is none of that name. */
    Map<String, Key> of(String section) {
        return sections.getOrDefault(section, sections.get(section + ".NAME"));
    }

    List<String> sections() {
        return sections.keySet().stream().map(s -> s.replace(".NAME", "")).toList();
    }

    /**
     * A key under another unit: what somebody who wrote {@code delay_s} for {@code delay_ms} meant.
     */
    Key otherUnit(String section, String name) {
        String stem = stem(name);
        return of(section).values().stream()
                .filter(k -> stem(k.name()).equals(stem) && !k.name().equals(stem))
                .findFirst()
                .orElse(null);
    }

    private static String stem(String name) {
        return name.replaceAll("_(us|ms|s|per_s)$", "");
    }

    /** The reference as Markdown: a table for each section. */
    public static String reference() {
        List<String> lines = new ArrayList<>();
        ALL.sections.forEach(
                (section, keys) -> {
                    lines.add("### `[" + section + "]`\n\n" + ALL.titles.get(section) + "\n");
                    lines.add("| key | takes | default | meaning |\n| --- | --- | --- | --- |");
                    keys.values()
                            .forEach(
                                    k ->
                                            lines.add(
                                                    "| `"
                                                            + k.name()
                                                            + "` | "
                                                            + k.expected()
                                                                    .replace(
                                                                            ", or a range [a, b] of"
                                                                                    + " them",
                                                                            "")
                                                            + " | "
                                                            + (k.required()
                                                                    ? "must be given"
                                                                    : k.otherwise().isEmpty()
                                                                            ? "empty"
                                                                            : "`"
                                                                                    + k.otherwise()
                                                                                    + "`")
                                                            + " | "
                                                            + k.text()
                                                            + " |"));
                    lines.add("");
                });
        return String.join("\n", lines);
    }
}
