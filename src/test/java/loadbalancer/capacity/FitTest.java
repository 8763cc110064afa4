package loadbalancer.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import loadbalancer.capacity.Fit.Form;
import org.junit.jupiter.api.Test;

class FitTest {
    private static final double[] SIZES = {10, 30, 100, 300, 1_000};

    private static Samples samples(DoubleUnaryOperator value) {
        List<Sample> samples = new ArrayList<>();
        for (double size : SIZES) {
            samples.add(new Sample("cost", "upstreams", size, 1, value.applyAsDouble(size), "us"));
        }
        return new Samples(samples);
    }

    private static Fit fit(Form form, DoubleUnaryOperator value) {
        return samples(value).fit(form, "cost", "upstreams");
    }

    @Test
    void aLineIsFound() {
        Fit fit = fit(Form.LINEAR, size -> 5 + 0.25 * size);
        assertEquals(5, fit.intercept(), 1e-9);
        assertEquals(0.25, fit.slope(), 1e-9);
        assertEquals(0, fit.residual(), 1e-9);
        assertEquals(505, fit.at(2_000), 1e-9);
    }

    @Test
    void aPowerLawIsFound() {
        Fit fit = fit(Form.POWER, size -> 3 * size * size);
        assertEquals(2, fit.slope(), 1e-9);
        assertEquals(3, fit.intercept(), 1e-9);
        assertEquals(3 * 4e6, fit.at(2_000), 1e-2);
    }

    @Test
    void theResidualIsTheDeviationRelativeToTheMean() {
        Samples two =
                new Samples(
                        List.of(
                                new Sample("cost", "upstreams", 1, 1, 9, "us"),
                                new Sample("cost", "upstreams", 1, 2, 11, "us"),
                                new Sample("cost", "upstreams", 2, 1, 9, "us"),
                                new Sample("cost", "upstreams", 2, 2, 11, "us"),
                                new Sample("cost", "upstreams", 3, 1, 9, "us"),
                                new Sample("cost", "upstreams", 3, 2, 11, "us")));
        assertEquals(0.1, two.fit(Form.LINEAR, "cost", "upstreams").residual(), 1e-9);
        assertEquals(
                Math.log(11 / 9.0) / 2, two.fit(Form.POWER, "cost", "upstreams").residual(), 1e-9);
    }

    @Test
    void noCurveIsFollowedFarBeyondWhatWasMeasured() {
        Fit fit = fit(Form.LINEAR, size -> size);
        assertEquals(10_000, fit.at(10_000), 1e-6);
        assertThrows(BadPage.class, () -> fit.at(10_001));
        assertEquals(50_000, fit.extrapolated(50_000), 1e-6);
    }

    @Test
    void aSlopeNeedsSeveralSizesAndAPowerLawPositiveValues() {
        Samples one = new Samples(List.of(new Sample("cost", "upstreams", 1, 1, 9, "us")));
        assertThrows(BadPage.class, () -> one.fit(Form.LINEAR, "cost", "upstreams"));
        assertThrows(BadPage.class, () -> fit(Form.POWER, size -> size - 10));
    }

    @Test
    void whatWasNotMeasuredIsRefused() {
        Samples samples = samples(size -> size);
        assertEquals(30, samples.mean("cost", "upstreams", 30));
        assertTrue(
                assertThrows(BadPage.class, () -> samples.mean("cost", "upstreams", 31))
                        .getMessage()
                        .contains("31"));
        assertThrows(BadPage.class, () -> samples.worst("cost", "tenants", 30));
    }
}
