package loadbalancer.lab.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * A scenario as its file has it, checked whole. Values may still be ranges until one world is
 * drawn.
 */
public final class Scenario {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String file;
    private final ObjectNode tree;

    private Scenario(String file, ObjectNode tree) throws BadScenario {
        this.file = file;
        this.tree = tree;
        check();
    }

    /** Reads and checks a file; the message of a refusal is one line. */
    public static Scenario read(Path file) throws BadScenario {
        return new Scenario(file.toString(), toml(file));
    }

    /** The same from a text; {@code name} stands in messages for the file. */
    public static Scenario parse(String name, String text) throws BadScenario {
        try {
            return new Scenario(name, (ObjectNode) new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            throw new BadScenario(
                    place(name, e), e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    /** A TOML file as a tree. */
    public static ObjectNode toml(Path file) throws BadScenario {
        try {
            return (ObjectNode) new TomlMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new BadScenario(
                    place(file.toString(), e),
                    e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new BadScenario(
                    file.toString(), "can't be read: " + e.getClass().getSimpleName());
        }
    }

    private static String place(String file, JsonProcessingException e) {
        return e.getLocation() == null ? file : file + " line " + e.getLocation().getLineNr();
    }

    /** This scenario with one key changed, named by its path as in {@code kind.fast.speed}. */
    public Scenario with(String path, JsonNode value) throws BadScenario {
        String[] steps = path.split("\\.");
        if (ScenarioKeys.all().named(steps[0])
                && (steps.length != 3 || !tree.path(steps[0]).has(steps[1]))) {
            throw new BadScenario(file + " " + path, "there is no such section");
        }
        return with(Map.of(path, value));
    }

    /**
     * This scenario with several keys changed at once; sections under new names may be added so.
     */
    public Scenario with(Map<String, JsonNode> changes) throws BadScenario {
        ObjectNode changed = tree.deepCopy();
        for (var change : changes.entrySet()) {
            String[] steps = change.getKey().split("\\.");
            ObjectNode at = changed;
            for (int i = 0; i < steps.length - 1; i++) {
                JsonNode next = at.get(steps[i]);
                if (next != null && !next.isObject()) {
                    throw new BadScenario(
                            file + " " + change.getKey(),
                            "expected a path section.key or section.name.key");
                }
                at = next == null ? at.putObject(steps[i]) : (ObjectNode) next;
            }
            at.set(steps[steps.length - 1], change.getValue());
        }
        return new Scenario(file, changed);
    }

    private void check() throws BadScenario {
        for (var entry : tree.properties()) {
            String section = entry.getKey();
            if (ScenarioKeys.all().of(section) == null) {
                throw new BadScenario(
                        file + " [" + section + "]",
                        "unknown section; expected one of "
                                + String.join(", ", ScenarioKeys.all().sections()));
            }
            if (!entry.getValue().isObject()) {
                throw new BadScenario(file + " " + section, "expected a section [" + section + "]");
            }
            if (ScenarioKeys.all().named(section)) {
                for (var one : entry.getValue().properties()) {
                    checkSection(section, section + "." + one.getKey(), one.getValue());
                }
            } else {
                checkSection(section, section, entry.getValue());
            }
        }
        for (String section : ScenarioKeys.all().sections()) {
            if (!ScenarioKeys.all().named(section) && !tree.has(section)) {
                checkSection(section, section, JSON.createObjectNode());
            }
        }
        for (String sort : List.of("class", "kind")) {
            if (!tree.has(sort) || tree.get(sort).isEmpty()) {
                throw new BadScenario(file, "expected at least one section [" + sort + ".NAME]");
            }
        }
        Consistency.check(file, draw(k -> 0.5));
    }

    private void checkSection(String section, String path, JsonNode values) throws BadScenario {
        if (!values.isObject()) {
            throw new BadScenario(file + " " + path, "expected a section [" + path + "]");
        }
        Map<String, Key> keys = ScenarioKeys.all().of(section);
        for (var value : values.properties()) {
            String place = file + " " + path + "." + value.getKey();
            Key key = keys.get(value.getKey());
            if (key == null) {
                Key meant = ScenarioKeys.all().otherUnit(section, value.getKey());
                throw new BadScenario(
                        place,
                        meant != null
                                ? "wrong unit; expected " + meant.name()
                                : "unknown key; expected one of "
                                        + String.join(", ", keys.keySet()));
            }
            if (!key.takes(value.getValue())) {
                throw new BadScenario(
                        place, "expected " + key.expected() + ", got " + value.getValue());
            }
        }
        for (Key key : keys.values()) {
            if (key.required() && !values.has(key.name())) {
                throw new BadScenario(
                        file + " " + path + "." + key.name(), "must be given: " + key.expected());
            }
        }
    }

    /**
     * Draws one world; {@code place} gives, for the path of a key, where in its range the value
     * lies.
     */
    public Drawn draw(ToDoubleFunction<String> place) {
        Map<String, Section> plain = new LinkedHashMap<>();
        Map<String, List<Section>> named = new LinkedHashMap<>();
        for (String section : ScenarioKeys.all().sections()) {
            JsonNode values = tree.path(section);
            if (!ScenarioKeys.all().named(section)) {
                plain.put(section, drawn(section, section, section, values, place));
                continue;
            }
            List<Section> list = new ArrayList<>();
            for (var one : values.properties()) {
                list.add(
                        drawn(
                                section,
                                one.getKey(),
                                section + "." + one.getKey(),
                                one.getValue(),
                                place));
            }
            named.put(section, list);
        }
        return new Drawn(plain, named);
    }

    private static Section drawn(
            String section,
            String name,
            String path,
            JsonNode values,
            ToDoubleFunction<String> place) {
        Map<String, JsonNode> drawn = new LinkedHashMap<>();
        for (Key key : ScenarioKeys.all().of(section).values()) {
            JsonNode given = values.get(key.name());
            JsonNode value = given == null ? standard(key) : given;
            drawn.put(
                    key.name(),
                    value.isArray()
                            ? key.drawn(value, place.applyAsDouble(path + "." + key.name()))
                            : value);
        }
        return new Section(name, drawn);
    }

    private static JsonNode standard(Key key) {
        try {
            return key.numeric() || key.type() == Key.Type.FLAG
                    ? JSON.readTree(key.otherwise())
                    : TextNode.valueOf(key.otherwise());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("bad default of " + key.name(), e);
        }
    }

    /** The scenario's text as JSON, to tell whether results belong to it. */
    public String canonical() {
        return tree.toString();
    }
}
