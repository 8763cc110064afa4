package loadbalancer.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import loadbalancer.lab.baseline.BalancerUnderTest;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.lab.scenario.Scenario;

/**
 * A scenario, a sweep over any of its keys, the contenders, and how often each is played: checked
 * whole before anything runs.
 */
public final class Experiment {
    private static final Set<String> KEYS =
            Set.of(
                    "title",
                    "about",
                    "scenario",
                    "seed",
                    "replications",
                    "policies",
                    "set",
                    "sweep");
    private static final int MOST_RUNS = 1_000_000;

    /** One point of the sweep. */
    record Cell(int index, Map<String, JsonNode> at, Scenario scenario) {}

    /** One run to be played. */
    record Run(Cell cell, String policy, long seed) {
        /** Names this run among all of the experiment. */
        String id() {
            return cell.index() + "/" + policy + "/" + seed;
        }
    }

    private final String title;
    private final String about;
    private final List<Cell> cells;
    private final List<String> policies;
    private final long seed;
    private final int replications;
    private final Map<String, List<JsonNode>> sweep;

    private Experiment(Path file, ObjectNode tree) throws BadScenario {
        for (var entry : tree.properties()) {
            if (!KEYS.contains(entry.getKey())) {
                throw new BadScenario(
                        file + " " + entry.getKey(),
                        "unknown key; expected one of "
                                + String.join(", ", KEYS.stream().sorted().toList()));
            }
        }
        title = text(file, tree, "title", file.getFileName().toString().replace(".toml", ""));
        about = text(file, tree, "about", "");
        seed = whole(file, tree, "seed", 1, Long.MIN_VALUE);
        replications = (int) whole(file, tree, "replications", 1, 1);
        policies = policies(file, tree.get("policies"));
        String scenario = text(file, tree, "scenario", null);
        Path folder = file.toAbsolutePath().getParent();
        Scenario base =
                Scenario.read(folder.resolve(scenario).normalize())
                        .with(flat("", section(file, tree, "set")));
        sweep = sweep(file, section(file, tree, "sweep"));
        cells = new ArrayList<>();
        cross(base, new ArrayList<>(sweep.keySet()), new LinkedHashMap<>());
        if ((long) cells.size() * policies.size() * replications > MOST_RUNS) {
            throw new BadScenario(
                    file.toString(), "expected at most " + MOST_RUNS + " runs in all");
        }
    }

    /** Reads an experiment and the scenario that it names, relative to its own folder. */
    public static Experiment read(Path file) throws BadScenario {
        return new Experiment(file, Scenario.toml(file));
    }

    private static String text(Path file, ObjectNode tree, String key, String otherwise)
            throws BadScenario {
        JsonNode value = tree.get(key);
        if (value == null && otherwise != null) {
            return otherwise;
        }
        if (value == null || !value.isTextual()) {
            throw new BadScenario(file + " " + key, "expected a text");
        }
        return value.asText();
    }

    private static long whole(Path file, ObjectNode tree, String key, long otherwise, long least)
            throws BadScenario {
        JsonNode value = tree.get(key);
        if (value == null) {
            return otherwise;
        }
        if (!value.isIntegralNumber() || value.asLong() < least) {
            throw new BadScenario(
                    file + " " + key,
                    "expected a whole number"
                            + (least == Long.MIN_VALUE ? "" : " of at least " + least));
        }
        return value.asLong();
    }

    private static ObjectNode section(Path file, ObjectNode tree, String key) throws BadScenario {
        JsonNode value = tree.get(key);
        if (value == null) {
            return tree.objectNode();
        }
        if (!value.isObject()) {
            throw new BadScenario(file + " " + key, "expected a section [" + key + "]");
        }
        return (ObjectNode) value;
    }

    private static List<String> policies(Path file, JsonNode value) throws BadScenario {
        if (value == null) {
            return List.of("module");
        }
        List<String> names = new ArrayList<>();
        value.forEach(v -> names.add(v.asText()));
        if (!value.isArray()
                || names.isEmpty()
                || !BalancerUnderTest.all().keySet().containsAll(names)) {
            throw new BadScenario(
                    file + " policies",
                    "expected a list out of "
                            + String.join(", ", BalancerUnderTest.all().keySet())
                            + ", got "
                            + value);
        }
        return names;
    }

    private static Map<String, JsonNode> flat(String prefix, ObjectNode node) {
        Map<String, JsonNode> flat = new LinkedHashMap<>();
        for (var entry : node.properties()) {
            String path = prefix + entry.getKey();
            if (entry.getValue().isObject()) {
                flat.putAll(flat(path + ".", (ObjectNode) entry.getValue()));
            } else {
                flat.put(path, entry.getValue());
            }
        }
        return flat;
    }

    private static Map<String, List<JsonNode>> sweep(Path file, ObjectNode node)
            throws BadScenario {
        Map<String, List<JsonNode>> sweep = new LinkedHashMap<>();
        for (var entry : flat("", node).entrySet()) {
            if (!entry.getValue().isArray() || entry.getValue().isEmpty()) {
                throw new BadScenario(
                        file + " sweep." + entry.getKey(), "expected a list of at least one value");
            }
            List<JsonNode> values = new ArrayList<>();
            entry.getValue().forEach(values::add);
            sweep.put(entry.getKey(), values);
        }
        return sweep;
    }

    private void cross(Scenario scenario, List<String> keys, Map<String, JsonNode> at)
            throws BadScenario {
        if (keys.isEmpty()) {
            cells.add(new Cell(cells.size(), new LinkedHashMap<>(at), scenario));
            return;
        }
        for (JsonNode value : sweep.get(keys.get(0))) {
            at.put(keys.get(0), value);
            cross(scenario.with(keys.get(0), value), keys.subList(1, keys.size()), at);
        }
        at.remove(keys.get(0));
    }

    String title() {
        return title;
    }

    String about() {
        return about;
    }

    List<Cell> cells() {
        return cells;
    }

    List<String> policies() {
        return policies;
    }

    /** How many runs there are in all. */
    public int size() {
        return cells.size() * policies.size() * replications;
    }

    /**
     * All runs in the order of the results. Every contender plays the same seeds, so results pair.
     */
    List<Run> runs() {
        List<Run> runs = new ArrayList<>();
        for (Cell cell : cells) {
            for (String policy : policies) {
                for (int i = 0; i < replications; i++) {
                    runs.add(new Run(cell, policy, seed + i));
                }
            }
        }
        return runs;
    }

    /** Tells experiments apart whose results must not be mixed: the same for the same worlds. */
    String fingerprint() {
        StringBuilder all = new StringBuilder();
        cells.forEach(c -> all.append(c.at()).append(c.scenario().canonical()).append('\n'));
        all.append(policies);
        return UUID.nameUUIDFromBytes(all.toString().getBytes(StandardCharsets.UTF_8)).toString();
    }

    /** The head of the results: what they are results of. */
    ObjectNode head() {
        ObjectNode head = new ObjectMapper().createObjectNode();
        head.put("title", title).put("about", about).put("fingerprint", fingerprint());
        head.put("seed", seed).put("replications", replications);
        policies.forEach(head.putArray("policies")::add);
        ObjectNode swept = head.putObject("sweep");
        sweep.forEach((key, values) -> values.forEach(swept.withArray("/" + key)::add));
        return head;
    }
}
