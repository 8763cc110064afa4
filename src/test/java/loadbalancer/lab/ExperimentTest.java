package loadbalancer.lab;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.lab.scenario.Scenario;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Experiments from file to results: checks, resuming, and the same bytes however they are played.
 */
class ExperimentTest {
    @TempDir Path folder;

    @BeforeEach
    void scenario() throws IOException {
        write(
                "s.toml",
                """
                [run]
                length_s = 3
                [kind.k]
                [class.c]
                work_ms = 10
                """);
    }

    private Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    private Path experiment() throws IOException {
        return write(
                "e.toml",
                """
                title = "test"
                scenario = "s.toml"
                seed = 5
                replications = 3
                policies = ["module", "random"]
                [set]
                "servers.count" = 3
                [sweep]
                load.of_capacity = [0.3, 0.6]
                """);
    }

    private void run(Path to, int threads, boolean resume) throws Exception {
        new Runner(Experiment.read(experiment()), to, threads).run(resume, done -> {});
    }

    private static void assertSame(Path a, Path b) throws IOException {
        for (String name :
                List.of("head.json", "runs.jsonl", "runs.csv", "summary.csv", "report.html")) {
            assertArrayEquals(
                    Files.readAllBytes(a.resolve(name)), Files.readAllBytes(b.resolve(name)), name);
        }
    }

    @Test
    void theSameBytesComeOutOnAnyNumberOfThreads() throws Exception {
        run(folder.resolve("one"), 1, false);
        run(folder.resolve("many"), 7, false);
        assertSame(folder.resolve("one"), folder.resolve("many"));
        assertEquals(12, Files.readAllLines(folder.resolve("one/runs.jsonl")).size());
        assertFalse(Files.exists(folder.resolve("one").resolve(Results.PART)));
    }

    /** What a run that was stopped leaves behind: some lines, and the last one torn. */
    @Test
    void resumeGoesOnBehindWhatIsFinished() throws Exception {
        run(folder.resolve("whole"), 2, false);
        Path part = folder.resolve("part");
        Files.createDirectories(part);
        Files.copy(folder.resolve("whole/head.json"), part.resolve("head.json"));
        List<String> lines = Files.readAllLines(folder.resolve("whole/runs.jsonl"));
        // A finished run with a mark of its own: it must be taken over, not played again.
        String marked = lines.get(4).replaceFirst("\"events\":\\d+", "\"events\":7");
        Files.writeString(
                part.resolve(Results.PART),
                lines.get(9) + "\n" + marked + "\n" + lines.get(2).substring(0, 200));
        run(part, 2, true);
        List<String> resumed = Files.readAllLines(part.resolve("runs.jsonl"));
        assertEquals(marked, resumed.get(4));
        lines.set(4, marked);
        assertEquals(lines, resumed);
    }

    @Test
    void resumeRefusesAnotherExperimentsResults() throws Exception {
        run(folder.resolve("r"), 2, false);
        write(
                "s.toml",
                Files.readString(folder.resolve("s.toml")).replace("work_ms = 10", "work_ms = 11"));
        BadScenario e = assertThrows(BadScenario.class, () -> run(folder.resolve("r"), 2, true));
        assertTrue(e.getMessage().contains("another experiment"), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[load]\\nof_capacty = 1 | load.of_capacty: unknown key; expected one of",
                "[network]\\nsame_s = 1 | network.same_s: wrong unit; expected same_ms",
                "[discovery]\\nnotice_ms = 1 | discovery.notice_ms: wrong unit; expected notice_s",
                "[load]\\n"
                    + "of_capacity = \"much\" | load.of_capacity: expected a number from 0 to 100",
                "[load]\\n"
                    + "of_capacity = [1, 2, 3] | load.of_capacity: expected a number from 0 to 100,"
                    + " or a range",
                "[servers]\\ncount = 2.5 | servers.count: expected a whole number",
                "[servers]\\ncancel = \"some\" | servers.cancel: expected one of none, queued, all",
                "[server]\\ncount = 2 | [server]: unknown section; expected one of",
                "[trouble.x]\\nlen_s = 2 | trouble.x.kind: must be given",
                "[trouble.x]\\n"
                    + "kind = \"tenant_flood\" | trouble.x.tenant: must be given for tenant_flood",
                "[trouble.x]\\n"
                        + "kind = \"burst\"\\n"
                        + "server_kind = \"z\" | trouble.x.server_kind: expected one of k",
                "[trouble]\\nx = 1 | trouble.x: expected a section",
                "[class.d]\\n | class.d.work_ms: must be given",
                "load = = 2 | line 6",
                "[tenant.a]\\nshare = 2 | tenant.a.share: expected a number from 0 to 1"
            })
    void aBadScenarioIsRefusedInOneLineWithItsPlace(String addition, String message)
            throws IOException {
        Path file =
                write(
                        "s.toml",
                        Files.readString(folder.resolve("s.toml")) + addition.replace("\\n", "\n"));
        String said = assertThrows(BadScenario.class, () -> Scenario.read(file)).getMessage();
        assertTrue(said.contains(message), said);
        assertTrue(said.startsWith(file.toString()), said);
        assertEquals(1, said.lines().count(), said);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "polices = []\\n | polices: unknown key; expected one of",
                "policies = [\"best\"]\\n | policies: expected a list out of module, random",
                "replications = 0\\n | replications: expected a whole number of at least 1",
                "seed = \"x\"\\n | seed: expected a whole number",
                "[sweep]\\n"
                    + "\"load.of_capacity\" = [] | sweep.load.of_capacity: expected a list of at"
                    + " least one",
                "[sweep]\\n"
                        + "\"load.of_capacity\" = 3 | sweep.load.of_capacity: expected a list of at"
                        + " least one",
                "[sweep]\\n"
                    + "\"load.of_capacity\" = [0.1, -1] | load.of_capacity: expected a number from"
                    + " 0 to 100",
                "[sweep]\\n\"kind.z.speed\" = [1] | kind.z.speed: there is no such section",
                "[set]\\n\"load.wrong\" = 1 | load.wrong: unknown key"
            })
    void aBadExperimentIsRefusedBeforeAnythingRuns(String text, String message) throws IOException {
        Path file = write("e.toml", "scenario = \"s.toml\"\n" + text.replace("\\n", "\n"));
        String said = assertThrows(BadScenario.class, () -> Experiment.read(file)).getMessage();
        assertTrue(said.contains(message), said);
        assertEquals(1, said.lines().count(), said);
    }

    static Stream<Path> shipped() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("lab"))) {
            return files.filter(f -> f.toString().endsWith(".toml")).sorted().toList().stream();
        }
    }

    @ParameterizedTest
    @MethodSource("shipped")
    void whatIsShippedCanBePlayed(Path file) throws BadScenario {
        if (Scenario.toml(file).has("scenario")) {
            assertTrue(Experiment.read(file).size() > 0);
        } else {
            Scenario.read(file);
        }
    }

    /** The reference is made of the table that the program checks files with. */
    @Test
    void thePageHasEveryKeyAsTheProgramHasIt() throws IOException {
        String page = Files.readString(Path.of("docs", "lab.md"), StandardCharsets.UTF_8);
        assertTrue(
                page.contains(loadbalancer.lab.scenario.ScenarioKeys.reference()),
                "docs/lab.md is behind: put in what `lab keys` prints");
    }

    @Test
    void aDifferenceInsideTheNoiseIsCalledThat() throws Exception {
        run(folder.resolve("r"), 2, false);
        String same = Compare.folders(folder.resolve("r"), folder.resolve("r"), List.of("g"));
        assertEquals(4, same.lines().filter(l -> l.endsWith("inside the noise")).count(), same);
        assertEquals(
                2,
                Compare.policies(folder.resolve("r"), "module", "random", List.of("g"))
                        .lines()
                        .count());
        assertTrue(
                Compare.policies(folder.resolve("r"), "module", "x", List.of("g"))
                        .startsWith("no point"));
        assertEquals("better", Compare.verdict("g", Interval.of(List.of(0.1, 0.11, 0.12))));
        assertEquals("worse", Compare.verdict("waste", Interval.of(List.of(0.1, 0.11, 0.12))));
        assertEquals("inside the noise", Compare.verdict("g", Interval.of(List.of(0.1))));
    }

    /** Student's t for three values: half-width 4.303 s / sqrt(3). */
    @Test
    void intervalsFollowStudent() {
        Interval i = Interval.of(List.of(1.0, 2.0, 3.0));
        assertEquals(2, i.mean(), 1e-12);
        assertEquals(4.302653 / Math.sqrt(3), i.half(), 1e-5);
    }
}
