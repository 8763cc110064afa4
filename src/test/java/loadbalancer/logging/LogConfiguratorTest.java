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

/** Lines as they come out; standard error is taken over meanwhile. */
class LogConfiguratorTest {
    private final PrintStream before = System.err;
    private final ByteArrayOutputStream taken = new ByteArrayOutputStream();

    @AfterEach
    void back() {
        System.setErr(before);
        LogConfigurator.apply(LogSettings.PLAIN);
    }

    private List<String> lines(LogSettings settings, Runnable what) {
        System.setErr(new PrintStream(taken, true, StandardCharsets.UTF_8));
        LogConfigurator.apply(settings);
        what.run();
        System.setErr(before);
        return taken.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private static void speak() {
        System.getLogger("loadbalancer.loud.A").log(System.Logger.Level.DEBUG, "first \"quoted\"");
        System.getLogger("loadbalancer.calm.B").log(System.Logger.Level.DEBUG, "not this");
        System.getLogger("loadbalancer.calm.B").log(System.Logger.Level.WARNING, "second\nline");
    }

    @Test
    void jsonHasAnObjectALineAndLevelsByPackage() throws Exception {
        List<String> lines =
                lines(
                        LogSettings.of("json", List.of("loadbalancer.loud=debug")),
                        LogConfiguratorTest::speak);
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
    void textHasTimeThreadAndLogger() {
        List<String> lines =
                lines(LogSettings.of("text", List.of("warn")), LogConfiguratorTest::speak);
        assertTrue(
                lines.get(0)
                        .matches(
                                "\\d{4}-\\d\\d-\\d\\dT.* WARN  \\[.+\\] loadbalancer.calm.B:"
                                        + " second"),
                lines.toString());
    }

    @Test
    void levelsCanChangeWhileTheProgramRuns() {
        assertEquals(
                List.of(),
                lines(LogSettings.of("text", List.of("off")), LogConfiguratorTest::speak));
        assertEquals(
                3,
                lines(
                                LogSettings.of("plain", List.of("loadbalancer.loud=debug")),
                                LogConfiguratorTest::speak)
                        .size());
        assertTrue(taken.toString(StandardCharsets.UTF_8).startsWith("DEBUG first"));
    }

    @Test
    void aLevelUnderAFormerLoggerNameAppliesToTheCurrentOneAndOneLineNamesIt() {
        List<String> lines =
                lines(
                        LogSettings.of("plain", List.of("yewyoke.loud=debug")),
                        LogConfiguratorTest::speak);
        assertEquals(
                List.of(
                        "WARN log level of yewyoke.loud: the logger is now loadbalancer.loud",
                        "DEBUG first \"quoted\""),
                lines.subList(0, 2));
    }

    @Test
    void aLevelUnderTheCurrentNameOverridesTheOneUnderTheFormer() {
        List<String> lines =
                lines(
                        LogSettings.of(
                                "plain", List.of("yewyoke.loud=debug", "loadbalancer.loud=warn")),
                        LogConfiguratorTest::speak);
        assertTrue(
                lines.contains(
                        "WARN log level of yewyoke.loud: the logger is now loadbalancer.loud"),
                lines.toString());
        assertTrue(lines.stream().noneMatch(line -> line.startsWith("DEBUG")), lines.toString());
    }

    @Test
    void levelsUnderCurrentNamesGiveNoLine() {
        List<String> lines =
                lines(
                        LogSettings.of("plain", List.of("loadbalancer.calm=off")),
                        LogConfiguratorTest::speak);
        assertEquals(List.of(), lines);
    }
}
