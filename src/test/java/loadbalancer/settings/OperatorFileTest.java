package loadbalancer.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import loadbalancer.logging.LogConfigurator;
import loadbalancer.logging.LogSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OperatorFileTest {
    @TempDir Path folder;

    private OperatorFile read(String text) throws IOException, InvalidOperatorFileException {
        return OperatorFile.read(Files.writeString(folder.resolve("operator.toml"), text));
    }

    @Test
    void acceptsExampleFile() throws InvalidOperatorFileException {
        OperatorFile file = OperatorFile.read(Path.of("deploy", "operator.toml"));
        assertEquals(LogSettings.Format.JSON, file.log().format());
        assertEquals(Map.of("loadbalancer.node.Discovery", "debug"), file.log().levels());
        assertTrue(file.fleet().isEmpty());
    }

    @Test
    void appliesLevelsOfFormerLoggerNamesToCurrentLoggers() throws Exception {
        OperatorFile file = read("[log.levels]\n\"yewyoke.exchange\" = \"debug\"\n");
        try {
            LogConfigurator.apply(file.log());
            assertTrue(
                    System.getLogger("loadbalancer.proxy.Other")
                            .isLoggable(System.Logger.Level.DEBUG));
            assertFalse(
                    System.getLogger("loadbalancer.node.Other")
                            .isLoggable(System.Logger.Level.DEBUG));
        } finally {
            LogConfigurator.apply(LogSettings.PLAIN);
        }
    }

    @Test
    void usesDefaultsForEmptyFile() throws Exception {
        assertEquals(LogSettings.PLAIN, read("").log());
        assertEquals("", read("").stateFolder());
        assertEquals("/var/lib/b", read("[state]\nfolder = \"/var/lib/b\"").stateFolder());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[lag]\\n | lag: unknown key; expected one of log, state, fleet",
                "log = 1 | log: expected a section [log]",
                "[log]\\n"
                    + "frmat = \"json\" | log.frmat: unknown key; expected one of format, level,"
                    + " levels",
                "[log]\\nformat = \"xml\" | [log]: expected plain, text or json, got xml",
                "[log]\\nformat = 3 | log.format: expected a string",
                "[log]\\nlevel = \"loud\" | [log]: expected one of trace, debug",
                "[log.levels]\\n"
                        + "loadbalancer.node = \"debug\" | log.levels.loadbalancer: expected a"
                        + " string (keys that contain dots must be quoted)",
                "[state]\\nfolder = 3 | state.folder: expected a string",
                "state = 1 | expected a section [state]",
                "[state]\\ndir = \"x\" | state.dir: unknown key; expected one of folder",
                "[log | line 1"
            })
    void rejectsInvalidFileWithOneLineThatNamesTheKey(String text, String expected) {
        String message =
                assertThrows(
                                InvalidOperatorFileException.class,
                                () -> read(text.replace("\\n", "\n")))
                        .getMessage();
        assertTrue(message.contains(expected), message);
        assertEquals(1, message.lines().count());
        assertTrue(
                assertThrows(
                                InvalidOperatorFileException.class,
                                () -> OperatorFile.read(folder.resolve("none")))
                        .getMessage()
                        .endsWith("can't be read"));
    }
}
