package loadbalancer.fleet.codec;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HexFormat;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that invalid CBOR structures are rejected before they reach the parser. */
class CborValidatorTest {
    private static boolean isValid(String hex) {
        byte[] bytes = HexFormat.of().parseHex(hex);
        return CborValidator.isValid(bytes, 0, bytes.length);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "5a0003d090",
                "7a0003d090",
                "9a7fffffff",
                "ba7fffffff",
                "5bffffffffffffffff",
                "c25a0003d090",
                "5f4100ff",
                "9f00ff",
                "8181818181818100",
                "1b00",
                "fb00",
                "0000",
                ""
            })
    void rejectsExcessiveLengthsTagsAndDeepNesting(String hex) {
        assertFalse(isValid(hex));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"00", "1bffffffffffffffff", "fa7f800000", "a1616100", "8181818100", "4100"})
    void acceptsDefiniteLengthsWithinTheBytes(String hex) {
        assertTrue(isValid(hex));
    }
}
