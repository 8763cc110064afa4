package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.InvalidSettingException;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.RequestClass;
import org.junit.jupiter.api.Test;

/** Tests of the settings at the start and of their replacement. */
class DerivedSettingsTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;

    private final TestSettings config = new TestSettings();

    @Test
    void invalidSettingIsReportedByName() {
        config.zoneCount = 0;
        InvalidSettingException thrown =
                assertThrows(InvalidSettingException.class, () -> PolicyHarness.start(config));
        assertEquals("invalid setting: zoneCount", thrown.getMessage());
        config.zoneCount = 1;
        config.balancerCount = 0;
        thrown = assertThrows(InvalidSettingException.class, () -> PolicyHarness.start(config));
        assertEquals("invalid setting: balancerCount", thrown.getMessage());
    }

    @Test
    void invalidSettingsLeaveTheOldOnesInForce() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        config.maxAttempts = 0;
        assertThrows(
                InvalidSettingException.class,
                () -> harness.balancer.updateSettings(harness.nowMicros, config.settings()));
        String id = harness.request(0, SECOND);
        harness.endAttempt(id, AttemptOutcome.REJECTED, MILLI, null);
        assertEquals(2, harness.endpointsByRequest.get(id).size());
    }

    @Test
    void openRequestKeepsItsClassAndLimitsUnderNewSettings() {
        PolicyHarness harness = PolicyHarness.start(config).listEndpoints(3);
        String old = harness.request(2, SECOND); // not idempotent
        config.maxAttempts = 1;
        LoadBalancerSettings next = config.settings();
        List<RequestClass> classes = new ArrayList<>(next.requestClasses());
        Collections.reverse(classes); // index 2 is now the idempotent class
        harness.balancer.updateSettings(
                harness.nowMicros,
                new LoadBalancerSettings(
                        next.zoneIndex(),
                        next.zoneCount(),
                        next.balancerIndex(),
                        next.balancerCount(),
                        classes,
                        next.tenantQuotas(),
                        next.overQuotaWeightRatio(),
                        next.isWeightPerWork(),
                        next.limits(),
                        next.ruleLimits(),
                        next.prices(),
                        next.loadReportSource(),
                        next.capacityWeightKind(),
                        next.isEndpointListOnRequest(),
                        next.hasKeyAffinity(),
                        next.tickMicros()));
        String arrivedLater = harness.request(2, SECOND); // idempotent now, one attempt
        harness.endAttempt(old, AttemptOutcome.REJECTED, MILLI, null);
        assertEquals(
                2,
                harness.endpointsByRequest.get(old).size(),
                "the limit of four attempts at its arrival must apply");
        harness.endAttempt(old, AttemptOutcome.CONNECTION_RESET, MILLI, null);
        assertTrue(
                harness.failed.contains(old),
                "the class at its arrival, which is not idempotent, must apply");
        harness.endAttempt(arrivedLater, AttemptOutcome.REJECTED, MILLI, null);
        assertEquals(1, harness.endpointsByRequest.get(arrivedLater).size());
        assertTrue(harness.rejected.contains(arrivedLater));
    }
}
