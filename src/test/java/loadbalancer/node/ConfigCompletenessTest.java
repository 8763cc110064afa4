package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import loadbalancer.settings.InvalidInputException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which keys a configuration must have depends on the file alone, and is the same for all uses. */
class ConfigCompletenessTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Keys of deploy/example.json that may be absent, by docs/configuration.md. */
    private static final Set<String> OPTIONAL =
            Set.of(
                    "ops",
                    "limits",
                    "limits.sockets",
                    "settings.classes[0].dedup-scope",
                    "settings.classes[0].memory-span-s",
                    "settings.parties[0].allowance-per-s",
                    "settings.extra",
                    "settings.extra.warm-keys");

    private static ObjectNode example() throws IOException {
        return (ObjectNode) MAPPER.readTree(Path.of("deploy/example.json").toFile());
    }

    private static Config parse(ObjectNode config) throws Exception {
        return Config.parse(MAPPER.writeValueAsBytes(config));
    }

    private record Key(ObjectNode owner, String name, String path) {}

    private static List<Key> keys(ObjectNode owner, String path) {
        List<Key> keys = new ArrayList<>();
        owner.properties()
                .forEach(
                        field -> {
                            String fieldPath = path + field.getKey();
                            keys.add(new Key(owner, field.getKey(), fieldPath));
                            if (field.getValue() instanceof ObjectNode object) {
                                keys.addAll(keys(object, fieldPath + "."));
                            } else if (field.getValue() instanceof ArrayNode array) {
                                for (int i = 0; i < array.size(); i++) {
                                    if (array.get(i) instanceof ObjectNode element) {
                                        keys.addAll(keys(element, fieldPath + "[" + i + "]."));
                                    }
                                }
                            }
                        });
        return keys;
    }

    static Stream<String> pathsOfTheExample() throws IOException {
        return keys(example(), "").stream()
                .map(Key::path)
                .filter(path -> !path.startsWith("known."));
    }

    private static Key find(ObjectNode config, String path) {
        return keys(config, "").stream()
                .filter(key -> key.path().equals(path))
                .findFirst()
                .orElseThrow();
    }

    @ParameterizedTest
    @MethodSource("pathsOfTheExample")
    void missingKeyIsRejectedWithItsPathUnlessItIsOptional(String path) throws Exception {
        ObjectNode config = example();
        Key key = find(config, path);
        key.owner().remove(key.name());
        assertVerdict(config, path);
    }

    @ParameterizedTest
    @MethodSource("pathsOfTheExample")
    void nullInPlaceOfAValueCountsAsAMissingKey(String path) throws Exception {
        ObjectNode config = example();
        Key key = find(config, path);
        key.owner().putNull(key.name());
        switch (path) {
            case "known" -> assertDoesNotThrow(() -> parse(config), "an empty list");
            case "listen", "discovery", "seed" ->
                    assertThrows(InvalidInputException.class, () -> parse(config));
            default -> assertVerdict(config, path);
        }
    }

    private static void assertVerdict(ObjectNode config, String path) {
        if (OPTIONAL.contains(path)) {
            assertDoesNotThrow(() -> parse(config));
        } else {
            assertEquals(
                    "field \"" + path + "\" is missing or has an invalid value",
                    assertThrows(InvalidInputException.class, () -> parse(config)).getMessage());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "settings.ceilings.try-limit",
                "settings.rules.drain-grace-s",
                "settings.prices.waste",
                "settings.classes[1].give-up-s",
                "settings.parties[0].share"
            })
    void textInPlaceOfANumberIsRejectedWithItsPath(String path) throws Exception {
        ObjectNode config = example();
        Key key = find(config, path);
        key.owner().put(key.name(), "2");
        assertVerdict(config, path);
    }

    /** Guards against a scope or window that a reload silently replaces by a default. */
    @Test
    void keyedClassMustSayWhichEndpointsDropRepeatsAndForHowLong() throws Exception {
        for (String name : List.of("dedup-scope", "memory-span-s")) {
            ObjectNode config = example();
            Key key = find(config, "settings.classes[1]." + name);
            key.owner().remove(name);
            assertVerdict(config, key.path());
        }
    }

    @Test
    void absentOptionalKeysHaveTheDocumentedDefaults() throws Exception {
        ObjectNode config = example();
        keys(config, "").stream()
                .filter(key -> OPTIONAL.contains(key.path()))
                .forEach(key -> key.owner().remove(key.name()));
        Config parsed = parse(config);
        var settings = parsed.facts().settings();
        assertEquals(1_024, parsed.maxDescriptors());
        assertEquals(0, parsed.memoryMegabytes());
        assertEquals(0, settings.tenantQuotas().get(0).requestsPerSecond());
        assertEquals(false, settings.hasKeyAffinity());
        assertEquals(0, settings.requestClasses().get(0).objectiveWorkMultiple());
        assertEquals(false, settings.requestClasses().get(0).isStreaming());
        assertEquals(false, settings.isWeightPerWork());
    }
}
