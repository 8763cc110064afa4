package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The glossary explains every name that an edge of the program maps. */
class GlossaryTest {
    private static final Pattern CONSTANT =
            Pattern.compile("static final String \\w+ = \"([^\"]+)\";");

    private static List<String> namesIn(Path source) throws IOException {
        List<String> names = new ArrayList<>();
        Matcher matcher = CONSTANT.matcher(Files.readString(source));
        while (matcher.find()) {
            names.add(matcher.group(1));
        }
        return names;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "adapter/WireFieldNames",
                "settings/SettingsFieldNames",
                "node/DiscoveryFieldNames"
            })
    void everyNameOfAnEdgeIsExplained(String type) throws IOException {
        List<String> names = namesIn(Path.of("src/main/java/loadbalancer/" + type + ".java"));
        assertFalse(names.isEmpty());
        String glossary = Files.readString(Path.of("docs/glossary.md"));
        for (String name : names) {
            assertTrue(
                    glossary.contains("| `" + name + "` |"), name + " is not in docs/glossary.md");
        }
    }
}
