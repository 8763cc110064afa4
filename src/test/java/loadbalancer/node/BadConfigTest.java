package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import loadbalancer.settings.InvalidInputException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A broken file of settings is refused in one line that says where and why. */
class BadConfigTest {
    private static String refusal(String text) {
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
    void oneThatIsNotJsonIsRefusedWithItsPlace(String text, String message) {
        String said = refusal(text);
        assertEquals(message, said.substring(0, Math.min(message.length(), said.length())), said);
        assertEquals(1, said.lines().count(), said);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[] | not a JSON object",
                "{} | field listen is missing or not understood",
                "{\"listen\":\"there:1\"} | not an address: there:1",
                "{\"seed\":\"g\"} | field seed is not a hex number: g"
            })
    void oneThatIsShortOfAKeyIsRefusedByItsName(String text, String message) {
        assertEquals(message, refusal(text));
    }
}
