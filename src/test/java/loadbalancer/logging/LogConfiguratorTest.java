package loadbalancer.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the log lines that are written to standard error, which each test captures. */
class LogConfiguratorTest {
    private final PrintStream originalErr = System.err;
    private final ByteArrayOutputStream captured = new ByteArrayOutputStream();

    @AfterEach
    void restoreStandardError() {
        System.setErr(originalErr);
        LogConfigurator.apply(LogSettings.PLAIN);
    }

    private List<String> lines(LogSettings settings, Runnable logging) {
        System.setErr(new PrintStream(captured, true, StandardCharsets.UTF_8));
        LogConfigurator.apply(settings);
        logging.run();
        System.setErr(originalErr);
        return captured.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private static void writeLogLines() {
        System.getLogger("loadbalancer.loud.A").log(System.Logger.Level.DEBUG, "first \"quoted\"");
        System.getLogger("loadbalancer.calm.B").log(System.Logger.Level.DEBUG, "below the level");
        System.getLogger("loadbalancer.calm.B").log(System.Logger.Level.WARNING, "second\nline");
    }

    @Test
    void writesOneJsonObjectPerLineWithLevelsByPackage() throws Exception {
        List<String> lines =
                lines(
                        LogSettings.of("json", List.of("loadbalancer.loud=debug")),
                        LogConfiguratorTest::writeLogLines);
        assertEquals(2, lines.size(), lines.toString());
        JsonNode first = new ObjectMapper().readTree(lines.get(0));
        assertEquals("first \"quoted\"", first.path("formattedMessage").asText());
        assertEquals("DEBUG", first.path("level").asText());
        assertEquals("loadbalancer.loud.A", first.path("loggerName").asText());
        assertTrue(first.path("timestamp").asLong() > 0);
        assertEquals(
                "second\nline",
                new ObjectMapper().readTree(lines.get(1)).path("formattedMessage").asText());
    }

    @Test
    void writesTextLinesWithTimeThreadAndLogger() {
        List<String> lines =
                lines(LogSettings.of("text", List.of("warn")), LogConfiguratorTest::writeLogLines);
        assertTrue(
                lines.get(0)
                        .matches(
                                "\\d{4}-\\d\\d-\\d\\dT.* WARN  \\[.+\\] loadbalancer.calm.B:"
                                        + " second"),
                lines.toString());
    }

    @Test
    void appliesChangedLevelsAtRunTime() {
        assertEquals(
                List.of(),
                lines(LogSettings.of("text", List.of("off")), LogConfiguratorTest::writeLogLines));
        assertEquals(
                3,
                lines(
                                LogSettings.of("plain", List.of("loadbalancer.loud=debug")),
                                LogConfiguratorTest::writeLogLines)
                        .size());
        assertTrue(captured.toString(StandardCharsets.UTF_8).startsWith("DEBUG first"));
    }

    @Test
    void appliesLevelOfFormerLoggerNameToCurrentOneAndLogsCurrentName() {
        List<String> lines =
                lines(
                        LogSettings.of("plain", List.of("yewyoke.loud=debug")),
                        LogConfiguratorTest::writeLogLines);
        assertEquals(
                List.of(
                        "WARN log level of yewyoke.loud: the logger is now loadbalancer.loud",
                        "DEBUG first \"quoted\""),
                lines.subList(0, 2));
    }

    @Test
    void prefersLevelOfCurrentNameToThatOfFormerName() {
        List<String> lines =
                lines(
                        LogSettings.of(
                                "plain", List.of("yewyoke.loud=debug", "loadbalancer.loud=warn")),
                        LogConfiguratorTest::writeLogLines);
        assertTrue(
                lines.contains(
                        "WARN log level of yewyoke.loud: the logger is now loadbalancer.loud"),
                lines.toString());
        assertTrue(lines.stream().noneMatch(line -> line.startsWith("DEBUG")), lines.toString());
    }

    @Test
    void logsNothingForLevelsOfCurrentNames() {
        List<String> lines =
                lines(
                        LogSettings.of("plain", List.of("loadbalancer.calm=off")),
                        LogConfiguratorTest::writeLogLines);
        assertEquals(List.of(), lines);
    }
}
