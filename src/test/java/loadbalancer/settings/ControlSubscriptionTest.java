package loadbalancer.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import loadbalancer.settings.ControlSubscription.ListSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ControlSubscriptionTest {
    private static final String VALID_SECTION =
            "name = \"lb-1\"\nservice = \"shop\"\n"
                    + "servers = [\"10.0.9.1:9800\", \"10.0.9.2:9800\"]\n";

    @TempDir Path folder;

    private ControlSubscription read(String section)
            throws IOException, InvalidOperatorFileException {
        return OperatorFile.read(
                        Files.writeString(folder.resolve("operator.toml"), "[control]\n" + section))
                .control()
                .orElseThrow();
    }

    @Test
    void readsCompleteSection() throws Exception {
        ControlSubscription control = read(VALID_SECTION + "zone = \"a\"\nlist = \"control\"\n");
        assertEquals(
                new ControlSubscription(
                        "lb-1",
                        "shop",
                        List.of("10.0.9.1:9800", "10.0.9.2:9800"),
                        "a",
                        ListSource.CONTROL),
                control);
        assertEquals(ListSource.DISCOVERY, read(VALID_SECTION).list());
        assertEquals("", read(VALID_SECTION).zone());
    }

    @Test
    void acceptsCommentedExampleOfTheOperatorFile() throws Exception {
        String text = Files.readString(Path.of("deploy", "operator.toml"));
        String example = text.substring(text.indexOf("# [control]")).replaceAll("(?m)^# ", "");
        OperatorFile file =
                OperatorFile.read(Files.writeString(folder.resolve("operator.toml"), example));
        assertEquals("shop", file.control().orElseThrow().service());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name = \"lb-1\" | | control.name: is required in section [control]",
                "name = \"lb-1\" | name = \"l b\" | control.name: expected 1 to 64 printable"
                        + " characters",
                "name = \"lb-1\" | name = 7 | control.name: expected a string",
                "name = \"lb-1\" | name = \"x\"\\n"
                        + "nom = 1 | control.nom: unknown key; expected one of name, service",
                "service = \"shop\" | | control.service: is required in section [control]",
                "\"shop\" | \"shop,till\" | control.service: expected one service, got"
                        + " \"shop,till\"",
                "10.0.9.1:9800 | 10.0.9.1:0 | control.servers: expected an address like"
                        + " 10.0.0.1:9700",
                "10.0.9.1:9800 | cellar:9800 | control.servers: expected an address like"
                        + " 10.0.0.1:9700",
                "10.0.9.1:9800 | 10.0.9.2:9800 | control.servers: 10.0.9.2:9800 is listed twice",
                "[\"10.0.9.1:9800\", \"10.0.9.2:9800\"] | [] | control.servers: expected at least"
                        + " one address",
                "[\"10.0.9.1:9800\", \"10.0.9.2:9800\"] | 7 | control.servers: expected a list of"
                        + " at most 8 strings",
                "name = \"lb-1\" | name = \"x\"\\n"
                        + "list = \"file\" | control.list: expected discovery or control"
            })
    void rejectsInvalidSectionWithOneLineThatNamesTheKey(
            String part, String other, String expected) {
        String text = VALID_SECTION.replace(part, other == null ? "" : other.replace("\\n", "\n"));
        String message =
                assertThrows(InvalidOperatorFileException.class, () -> read(text)).getMessage();
        assertTrue(message.contains(expected), message);
        assertEquals(1, message.lines().count());
    }

    @Test
    void rejectsMoreThanEightServers() {
        StringBuilder servers =
                new StringBuilder("name = \"a\"\nservice = \"s\"\nservers = [\"10.0.0.1:1\"");
        for (int port = 2; port <= 9; port++) {
            servers.append(", \"10.0.0.1:").append(port).append('"');
        }
        String message =
                assertThrows(InvalidOperatorFileException.class, () -> read(servers + "]\n"))
                        .getMessage();
        assertTrue(
                message.endsWith("control.servers: expected a list of at most 8 strings"), message);
    }
}
