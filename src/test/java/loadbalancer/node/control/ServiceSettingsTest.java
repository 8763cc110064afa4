package loadbalancer.node.control;

import static loadbalancer.node.control.Samples.limits;
import static loadbalancer.node.control.Samples.requestClass;
import static loadbalancer.node.control.Samples.tenant;
import static loadbalancer.node.control.Samples.upstream;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import loadbalancer.EndpointState;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.RequestClass;
import loadbalancer.TenantQuota;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Upstream;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.LoadedSettings;
import org.junit.jupiter.api.Test;

class ServiceSettingsTest {
    private static LoadedSettings overlay(Resource... resources) throws Exception {
        return ServiceSettings.overlay(Samples.file(), ServiceResources.of(Stream.of(resources)));
    }

    @Test
    void keepsFileSettingsThatControlServersDoNotProvide() throws Exception {
        assertEquals(Samples.file(), overlay());
        assertEquals(Samples.file(), overlay(Samples.service()));
    }

    @Test
    void replacesClassesAndKeepsFileOrder() throws Exception {
        LoadedSettings merged =
                overlay(
                        requestClass("alert", 2),
                        requestClass("order", 4),
                        requestClass("look", 6));
        assertEquals(List.of("look", "order", "alert"), merged.classNames());
        assertEquals(
                new RequestClass(
                        "look",
                        500_000,
                        2,
                        6_000_000,
                        3,
                        0.1,
                        Idempotency.KEYED,
                        IdempotencyScope.ZONE,
                        7_000_000,
                        false),
                merged.settings().requestClasses().get(0));
        assertEquals(4_000_000, merged.settings().requestClasses().get(1).clientTimeoutMicros());
        assertEquals(0, merged.settings().requestClasses().get(2).objectiveWorkMultiple());
        assertEquals(Samples.file().tenantNames(), merged.tenantNames());
    }

    @Test
    void replacesTenantsAndKeepsFileOrder() throws Exception {
        LoadedSettings merged = overlay(tenant("aaron"), tenant("bolt"));
        assertEquals(List.of("bolt", "aaron"), merged.tenantNames());
        assertEquals(
                List.of(new TenantQuota(12, 0.5), new TenantQuota(12, 0.5)),
                merged.settings().tenantQuotas());
        assertEquals(Samples.file().classNames(), merged.classNames());
    }

    @Test
    void replacesLimitsThatControlServersProvide() throws Exception {
        LoadBalancerLimits limits = overlay(limits(2)).settings().limits();
        assertEquals(
                new LoadBalancerLimits(
                        2, false, true, true, false, 50, true, 3_000_000, 500_000, 8_000_000, 1),
                limits);
        assertFalse(Samples.file().settings().limits().equals(limits));
    }

    @Test
    void convertsUpstreamsToCompleteListSortedByName() throws Exception {
        EndpointListUpdate list =
                ServiceUpstreams.list(
                        new Revision(3, 17),
                        ServiceResources.of(
                                Stream.of(
                                        upstream("b", Upstream.State.DRAINING),
                                        upstream("a", Upstream.State.READY))));
        assertEquals(17, list.version());
        assertTrue(list.isComplete());
        assertEquals(
                List.of("a", "b"),
                list.entries().stream().map(EndpointListUpdate.Entry::id).toList());
        assertEquals(EndpointState.DRAINING, list.entries().get(1).state());
        assertEquals(9001, list.entries().get(0).address().getPort());
    }

    @Test
    void rejectsInvalidUpstreamAddress() {
        Upstream invalid = new Upstream(Samples.SERVICE, "a", "cellar:80", "", "", 0, null, 1, 0);
        InvalidChangeException rejection =
                assertThrows(
                        InvalidChangeException.class,
                        () ->
                                ServiceUpstreams.list(
                                        new Revision(1, 1),
                                        ServiceResources.of(Stream.of(invalid))));
        assertEquals("upstream shop/a field address", rejection.place());
    }
}
