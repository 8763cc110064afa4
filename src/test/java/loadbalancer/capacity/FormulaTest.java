package loadbalancer.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FormulaTest {
    private static final Samples SAMPLES =
            new Samples(
                    List.of(
                            new Sample("cost.idle", "upstreams", 10, 1, 20, "us"),
                            new Sample("cost.idle", "upstreams", 10, 2, 24, "us"),
                            new Sample("cost.idle", "upstreams", 100, 1, 112, "us"),
                            new Sample("cost.idle", "upstreams", 1_000, 1, 1_012, "us")));
    private static final Map<String, Double> KNOWN = Map.of("balancers", 860.0, "peak", 86_000.0);

    private static double evaluate(String text) {
        return Formula.evaluate(text, SAMPLES, KNOWN);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "1 + 2 * 3; 7",
                "(1 + 2) * 3; 9",
                "10 - 4 - 3; 3",
                "-2 * 3; -6",
                "8 / 4 / 2; 1",
                "1e-3 * 2.5e3; 2.5",
                "peak / balancers; 100",
                "ceil(7 / 2); 4",
                "max(3, min(9, 5)); 5",
                "mean(cost.idle, upstreams, 10); 22",
                "worst(cost.idle, upstreams, 2 * 5); 24"
            })
    void arithmeticIsAsUsual(String text, double value) {
        assertEquals(value, evaluate(text), 1e-12);
    }

    @Test
    void functionsOfSamplesFit() {
        assertEquals(1, evaluate("slope(cost.idle, upstreams)"), 0.01);
        assertEquals(12, evaluate("intercept(cost.idle, upstreams)"), 1);
        assertEquals(2_012, evaluate("linear(cost.idle, upstreams, 2000)"), 2);
        assertEquals(1_000_012, evaluate("extrapolated_linear(cost.idle, upstreams, 1e6)"), 1_000);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "1 +",
                "(1",
                "1 2",
                "unknown",
                "unknown(cost.idle, upstreams)",
                "1 ? 2",
                "mean(cost.idle, upstreams)",
                "mean(cost.idle, upstreams, 11)",
                "linear(cost.idle, upstreams, 1e6)"
            })
    void whatCannotBeComputedIsRefused(String text) {
        assertThrows(BadPage.class, () -> evaluate(text));
    }
}
