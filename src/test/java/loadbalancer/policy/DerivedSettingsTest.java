package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancer.Outcome;
import org.junit.jupiter.api.Test;

/** Settings at the start and their replacement. */
class DerivedSettingsTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final PolicyHarness.Config config = new PolicyHarness.Config();

    @Test
    void invalidSettingsAreRejectedWithTheFieldsName() {
        config.zones = 0;
        IllegalArgumentException thrown =
                assertThrows(IllegalArgumentException.class, () -> PolicyHarness.start(config));
        assertTrue(thrown.getMessage().contains("zones"));
        config.zones = 1;
        config.group = 0;
        thrown = assertThrows(IllegalArgumentException.class, () -> PolicyHarness.start(config));
        assertTrue(thrown.getMessage().contains("groupSize"));
    }

    @Test
    void invalidSettingsLeaveTheOldOnesInForce() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        config.attempts = 0;
        assertThrows(
                IllegalArgumentException.class,
                () -> harness.balancer.settings(harness.nowMicros, config.settings()));
        String id = harness.request(0, SECOND);
        harness.endAttempt(id, Outcome.FULL, MILLI, null);
        assertEquals(2, harness.endpointsByRequest.get(id).size());
    }

    @Test
    void openRequestKeepsItsClassAndLimitsUnderNewSettings() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        String old = harness.request(2, SECOND); // unsafe
        config.attempts = 1;
        LoadBalancer.Settings next = config.settings();
        List<LoadBalancer.RequestClass> classes = new ArrayList<>(next.classes());
        Collections.reverse(classes); // the index of the unsafe class is now that of the safe one
        harness.balancer.settings(
                harness.nowMicros,
                new LoadBalancer.Settings(
                        next.zone(),
                        next.zones(),
                        next.position(),
                        next.groupSize(),
                        classes,
                        next.tenants(),
                        next.overShareWorth(),
                        next.worthByWork(),
                        next.limits(),
                        next.rules(),
                        next.prices(),
                        next.reports(),
                        next.ratings(),
                        next.askForList(),
                        next.warmKeys(),
                        next.tick()));
        String since = harness.request(2, SECOND); // safe now, one attempt
        harness.endAttempt(old, Outcome.FULL, MILLI, null);
        assertEquals(
                2, harness.endpointsByRequest.get(old).size(), "four attempts, as when it came");
        harness.endAttempt(old, Outcome.RESET, MILLI, null);
        assertTrue(harness.failed.contains(old), "unsafe, as when it came");
        harness.endAttempt(since, Outcome.FULL, MILLI, null);
        assertEquals(1, harness.endpointsByRequest.get(since).size());
        assertTrue(harness.rejected.contains(since));
    }
}
