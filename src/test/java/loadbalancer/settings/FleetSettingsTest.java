package loadbalancer.settings;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetSettingsTest {
    private static final String VALID_SECTION =
            "name = \"lb-1\"\n"
                    + "listen = \"127.0.0.1:0\"\n"
                    + "seeds = [\"127.0.0.1:9700\"]\n"
                    + "key = \"KEY\"\n"
                    + "roster = [\"lb-1\", \"lb-2\"]\n";

    private static final byte[] KEY =
            "no more than an example of a key!".getBytes(StandardCharsets.US_ASCII);

    @TempDir Path folder;

    @BeforeEach
    void writeKeyFiles() throws IOException {
        Files.writeString(folder.resolve("hex"), "00ff".repeat(16) + "\n");
        Files.writeString(folder.resolve("base64"), Base64.getEncoder().encodeToString(KEY) + "\n");
        Files.writeString(folder.resolve("short"), "00ff".repeat(15));
        Files.writeString(folder.resolve("text"), "a secret that is no key!");
        Files.writeString(folder.resolve("long"), "00".repeat(600));
    }

    private FleetSettings read(String section) throws IOException, InvalidOperatorFileException {
        String text =
                section.replace("KEY", folder.resolve("hex").toString())
                        .replace("FOLDER", folder.toString());
        return OperatorFile.read(
                        Files.writeString(folder.resolve("operator.toml"), "[fleet]\n" + text))
                .fleet()
                .orElseThrow();
    }

    @Test
    void readsCompleteSection() throws Exception {
        FleetSettings fleet =
                read(VALID_SECTION + "previous-key = \"FOLDER/base64\"\nzone = \"a\"");
        assertEquals("lb-1", fleet.name());
        assertEquals("127.0.0.1:0", fleet.listen());
        assertEquals(List.of("127.0.0.1:9700"), fleet.seeds());
        assertEquals(Set.of("lb-1", "lb-2"), fleet.roster());
        assertEquals("a", fleet.zone());
        assertEquals((byte) 0xff, fleet.keys().get(0)[1]);
        assertEquals(32, fleet.keys().get(0).length);
        assertArrayEquals(KEY, fleet.keys().get(1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name = \"lb-1\" | | fleet.name: is required in section [fleet]",
                "name = \"lb-1\" | name = \"l b\" | fleet.name: expected 1 to 64 printable"
                        + " characters",
                "name = \"lb-1\" | name = 1 | fleet.name: expected a string",
                "name = \"lb-1\" | name = \"x\"\\n"
                        + "nom = 1 | fleet.nom: unknown key; expected one of name, listen",
                "127.0.0.1:0 | 127.0.0.256:1 | fleet.listen: expected an address like"
                        + " 10.0.0.1:9700",
                "127.0.0.1:0 | localhost:1 | fleet.listen: expected an address like 10.0.0.1:9700",
                "127.0.0.1:9700 | 127.0.0.1:0 | fleet.seeds: expected an address like"
                        + " 10.0.0.1:9700",
                "[\"127.0.0.1:9700\"] | 7 | fleet.seeds: expected a list of at most 1024 strings",
                "[\"lb-1\", \"lb-2\"] | [] | fleet.roster: expected at least one name",
                "[\"lb-1\", \"lb-2\"] | [\"a\", \"a\"] | fleet.roster: a is listed twice",
                "KEY | FOLDER/none | none: can't be read",
                "KEY | FOLDER/short | short: key of 30 bytes, but at least 32 are required",
                "KEY | FOLDER/text | text: expected one line of hex or base64",
                "KEY | FOLDER/long | long: file has more than 1024 bytes"
            })
    void rejectsInvalidSectionWithOneLineThatNamesTheKey(
            String part, String other, String expected) {
        String text = VALID_SECTION.replace(part, other == null ? "" : other.replace("\\n", "\n"));
        String message =
                assertThrows(InvalidOperatorFileException.class, () -> read(text)).getMessage();
        assertTrue(message.contains(expected), message);
        assertEquals(1, message.lines().count());
        assertTrue(!message.contains("a secret"), message);
    }

    @Test
    void rejectsPreviousKeyEqualToTheKey() {
        String message =
                assertThrows(
                                InvalidOperatorFileException.class,
                                () -> read(VALID_SECTION + "previous-key = \"KEY\""))
                        .getMessage();
        assertTrue(message.endsWith("fleet.previous-key: must differ from fleet.key"), message);
    }
}
