package loadbalancer.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the simulator protocol: each kind of event, and each kind of invalid line. */
class AdapterTest {
    private static final String SETTINGS =
            "{\"az\":0,\"later\":{\"x\":[1,{}]},\"classes\":[{\"aim-s\":0.5,"
                + "\"give-up-s\":2,\"repeat\":\"free\",\"worth\":1,\"late-worth\":0,\"name\":\"a\"}],"
                + "\"ceilings\":{\"try-limit\":3,\"cancel\":true,\"probes\":true},\"group-size\":1,"
                + "\"localities\":[\"z\"],\"report\":{\"names\":[\"cpu\",\"avg_ms\"],\"via\":\"pull\"},"
                + "\"rules\":{\"start-capacity\":0.2,\"cold-s\":9,\"fall-multiple\":3,\"fall-s\":1},"
                + "\"prices\":{},\"tick-s\":0.005,\"weights\":\"silent\",\"discovery\":\"pushed\"}";
    private static final String CREATE =
            "{\"kind\":\"create\",\"who\":1,\"init-seed\":18446744073709551615,"
                    + "\"facts\":"
                    + SETTINGS
                    + "},{\"kind\":\"sync\",\"who\":1,\"form\":\"restored\",\"stamp\":1,\"elements\":"
                    + "[{\"upstream\":\"h:1\",\"failure-domain\":0,\"type\":0,\"block\":0,"
                    + "\"readiness\":\"Ready\",\"rating\":1,\"launched-s\":null}]}";
    private static final String REQUEST =
            "{\"kind\":\"work-item\",\"who\":1,\"corr\":\"é-1\",\"is-write\":false,"
                    + "\"is-retry\":false,\"effort-s\":null,\"time-budget-s\":0.24,\"lane\":0,"
                    + "\"entity\":null,\"party\":null,\"new-field\":[1]}";

    private record Result(int exit, String out, String err) {}

    private static Result run(String input, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int exit =
                Adapter.run(
                        args.length == 0 ? new String[] {"adapter"} : args,
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        out,
                        new PrintStream(err, true, StandardCharsets.UTF_8));
        return new Result(
                exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private static String batch(String clock, String... events) {
        return "{\"moment-s\":" + clock + ",\"input\":[" + String.join(",", events) + "]}\n";
    }

    @Test
    void repliesWithoutActionsToEmptyBatch() {
        Result result = run(batch("8.41225"));
        assertEquals("{\"decisions\":[]}\n", result.out);
        assertEquals(0, result.exit);
    }

    @Test
    void sendsAttemptOfRequestAndConcludesItAfterTheResponse() {
        Result result =
                run(
                        batch("10", CREATE)
                                + batch("10.000001", REQUEST)
                                + batch(
                                        "10.1",
                                        "{\"kind\":\"answer\",\"who\":1,\"corr\":\"é-1\",\"attempt\":0,"
                                            + "\"upstream\":"
                                            + "\"h:1\",\"ending\":0,\"took-s\":0.1,\"last\":true,"
                                            + "\"feedback\":null}"));
        String[] lines = result.out.split("\n");
        assertTrue(
                lines[0].contains(
                        "{\"kind\":\"remind\",\"who\":1,\"ctx\":\"sweep\",\"sleep-for-s\":0.010000}"),
                result.out);
        assertEquals(
                "{\"decisions\":[{\"kind\":\"relay\",\"who\":1,\"corr\":\"é-1\",\"upstream\":\"h:1\"},"
                    + "{\"kind\":\"remind\",\"who\":1,\"ctx\":\"due\",\"sleep-for-s\":0.225000}]}",
                lines[1]);
        assertEquals("{\"decisions\":[]}", lines[2]);
    }

    @Test
    void acceptsClockAfterTheEvents() {
        Result result =
                run("{\"input\":[" + CREATE + "],\"moment-s\":10}\n" + batch("10", REQUEST));
        assertTrue(result.out.contains("relay"), result.out + result.err);
    }

    @Test
    void readsEveryEventKindAndSkipsUnknownOnes() {
        Result result =
                run(
                        batch(
                                "10",
                                CREATE,
                                REQUEST,
                                "{\"kind\":\"opened\",\"who\":1,\"corr\":\"é-1\",\"took-s\":0.1,"
                                        + "\"upstream\":\"h:1\",\"attempt\":0}",
                                "{\"kind\":\"client-gone\",\"who\":1,\"corr\":\"é-1\"}",
                                "{\"kind\":\"ping-result\",\"who\":1,\"took-s\":0.1,\"ending\":0,"
                                        + "\"upstream\":\"h:1\","
                                        + "\"feedback\":[0.5,12]}",
                                "{\"kind\":\"reminder\",\"who\":1,\"ctx\":\"sweep\"}",
                                "{\"kind\":\"whisper\",\"who\":1,\"from\":2,\"body\":\"68692037\"}",
                                "{\"kind\":\"sync\",\"who\":1,\"form\":\"unavailable\",\"stamp\":1,"
                                        + "\"elements\":null}",
                                "{\"kind\":\"destroy\",\"who\":1}",
                                CREATE,
                                "{\"kind\":\"of-the-future\",\"who\":1}"));
        assertEquals(0, result.exit, result.err);
        assertEquals(1, result.err.lines().count());
        assertTrue(result.err.contains("of-the-future"));
    }

    @Test
    void reportsInvalidSettingAsBugOfTheInstance() {
        Result result =
                run(
                        batch(
                                "10",
                                CREATE.replace("\"aim-s\":0.5", "\"aim-s\":-1")
                                        .replaceAll(",\\{\"kind\":\"sync\".*", "")));
        assertTrue(
                result.out.contains("\"bug\"")
                        && result.out.contains(
                                "invalid setting: requestClasses.latencyObjectiveMicros"),
                result.out + result.err);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "nonsense|not JSON",
                "[1]|not a JSON object",
                "{\"input\":[]}|no clock: field moment-s must be a number",
                "{\"moment-s\":1}|no events: field input must be an array",
                "{\"moment-s\":1,\"input\":[7]}|an event is not a JSON object",
                "{\"moment-s\":1,\"input\":[{\"who\":1}]}|field kind",
                "{\"moment-s\":1,\"input\":[{\"kind\":\"destroy\"}]}|field who",
                "{\"moment-s\":1,\"input\":[{\"kind\":\"client-gone\",\"who\":9,\"corr\":\"x\"}]}|instance"
                    + " 9 does not exist",
                "{\"moment-s\":1,\"input\":[{\"kind\":\"client-gone\",\"who\":\"a\",\"corr\":\"x\"}]}|not"
                    + " a number",
                "{\"moment-s\":1,\"input\":[]} {}|content after the end of the batch",
                "{\"moment-s\":1,\"input\":[|not JSON"
            })
    void stopsAtInvalidLineWithItsNumberAndOneMessage(String line, String expected) {
        Result result = run(batch("0.5") + line + "\n");
        assertEquals(1, result.exit);
        assertEquals("{\"decisions\":[]}\n", result.out);
        assertEquals(1, result.err.lines().count(), result.err);
        assertTrue(result.err.startsWith("line 2: ") && result.err.contains(expected), result.err);
    }

    @ParameterizedTest
    @ValueSource(strings = {"corr", "time-budget-s", "lane"})
    void namesMissingField(String field) {
        Result result = run(batch("10", CREATE, REQUEST.replace("\"" + field + "\"", "\"other\"")));
        assertEquals(1, result.exit);
        assertTrue(result.err.contains(field), result.err);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "adapter more", "help"})
    void printsUsageForInvalidCommandLine(String args) {
        Result result = run("", args.split(" "));
        assertEquals(2, result.exit);
        assertTrue(result.err.startsWith("usage:"));
        assertEquals("", result.out);
    }
}
