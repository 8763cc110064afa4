package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import loadbalancer.settings.InvalidInputException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An invalid configuration is rejected with one line that names the place and the reason. */
class ConfigErrorMessageTest {
    private static String errorMessage(String text) {
        return assertThrows(
                        InvalidInputException.class,
                        () ->
                                Config.parse(
                                        text.replace('^', '\n').getBytes(StandardCharsets.UTF_8)))
                .getMessage();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"seed\":\"1\",^ oops} | line 2, column 2: Unexpected character ('o' (code 111)):"
                        + " was expecting",
                "{\"listen\":\"127.0.0.1:1\",^\"seed\": | line 2, column 8: Unexpected"
                        + " end-of-input",
                "{\"known\":{\"version\":\"x\"}} | line 1, column 22: Current token (VALUE_STRING)"
                        + " not numeric"
            })
    void rejectsInvalidJsonWithLineAndColumn(String text, String message) {
        String actual = errorMessage(text);
        assertEquals(
                message, actual.substring(0, Math.min(message.length(), actual.length())), actual);
        assertEquals(1, actual.lines().count(), actual);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[] | the configuration is not a JSON object",
                "{} | field \"listen\" is missing or has an invalid value",
                "{\"listen\":\"there:1\"} | not an IP address with a port: there:1",
                "{\"seed\":\"g\"} | field \"seed\" is not a hexadecimal number of at most 64"
                        + " bits: g"
            })
    void rejectsMissingOrInvalidFieldsByName(String text, String message) {
        assertEquals(message, errorMessage(text));
    }
}
