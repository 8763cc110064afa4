package loadbalancer.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.spi.ToolProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the exit codes and the output of the command line. */
class CommandLineTest {
    @TempDir Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return ToolProvider.findFirst("load-balancer")
                .orElseThrow()
                .run(new PrintWriter(out, true), new PrintWriter(err, true), args);
    }

    @Test
    void listsEverySubcommandInHelp() {
        assertEquals(0, run("--help"));
        for (String word :
                List.of("lab", "check", "capacity", "serve", "adapter", "generate-completion")) {
            assertTrue(out.toString().contains(word), word);
        }
        assertEquals(0, run("lab", "--help"));
        for (String word : List.of("run", "compare", "check", "report", "list", "keys", "speed")) {
            assertTrue(out.toString().contains(word), word);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "nonsense",
                "lab",
                "lab run",
                "lab run --threads many x",
                "serve now",
                "lab speed lab/scenarios/site.toml --policy best",
                "capacity",
                "capacity measure nothing --out x.csv",
                "capacity measure modules",
                "capacity measure modules --out x.csv --repetitions 0"
            })
    void exitsWithTwoAndReasonForInvalidCommandLine(String line) {
        assertEquals(2, run(line.isEmpty() ? new String[0] : line.split(" ")));
        assertTrue(!err.toString().isBlank());
    }

    @Test
    void exitsWithTwoAndOneLineForInvalidFile() throws IOException {
        Path file = Files.writeString(folder.resolve("x.toml"), "[load]\nspeed = 1\n");
        assertEquals(2, run("lab", "check", file.toString()));
        assertEquals(1, err.toString().lines().count(), err.toString());
        assertTrue(err.toString().contains("x.toml load.speed: unknown key"), err.toString());
        assertEquals(2, run("lab", "check", folder.resolve("none.toml").toString()));
        assertEquals(2, run("lab", "report", folder.toString()));
        assertEquals(2, run("lab", "compare", folder.toString(), folder.toString()));
    }

    @Test
    void printsCompletionScript() {
        assertEquals(0, run("generate-completion"));
        assertTrue(out.toString().contains("complete -F"));
    }

    @Test
    void acceptsExampleConfigurationAndNamesInvalidSetting() throws IOException {
        Path example = Path.of("deploy", "example.json");
        assertEquals(0, run("check", example.toString()), err.toString());
        Path invalid =
                Files.writeString(
                        folder.resolve("c.json"),
                        Files.readString(example).replace("\"give-up-s\": 2", "\"give-up-s\": 0"));
        assertEquals(2, run("check", invalid.toString()));
        assertEquals(
                invalid + ": invalid setting: requestClasses.clientTimeoutMicros\n",
                err.toString());
        assertEquals(2, run("check", folder.resolve("none.json").toString()));
        assertTrue(err.toString().contains("there is no such file"));
    }

    @Test
    void runsExperimentAndWritesItsReportAgain() throws IOException {
        Files.writeString(
                folder.resolve("s.toml"),
                "[run]\nlength_s = 2\n[kind.k]\n" + "[class.c]\nwork_ms = 9\n");
        Path experiment =
                Files.writeString(
                        folder.resolve("e.toml"),
                        "scenario = \"s.toml\"\n"
                                + "replications = 2\n"
                                + "[sweep]\n"
                                + "\"servers.count\" = [1, 2, 30]\n");
        Path results = folder.resolve("r");
        assertEquals(
                0,
                run(
                        "lab",
                        "run",
                        experiment.toString(),
                        "--out",
                        results.toString(),
                        "--threads",
                        "2"));
        assertEquals("6 runs; report: " + results.resolve("report.html") + "\n", out.toString());
        String page = Files.readString(results.resolve("report.html"));
        assertTrue(
                page.contains("<svg")
                        && page.endsWith("</html>\n")
                        && !page.contains("http:" + "//localhost"));
        Files.delete(results.resolve("report.html"));
        assertEquals(0, run("lab", "report", results.toString()));
        assertEquals(page, Files.readString(results.resolve("report.html")));
        assertEquals(0, run("lab", "list", folder.toString()));
        assertTrue(out.toString().contains("6 runs"), out.toString());
    }
}
