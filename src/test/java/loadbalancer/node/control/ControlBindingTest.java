package loadbalancer.node.control;

import static loadbalancer.node.control.Samples.limits;
import static loadbalancer.node.control.Samples.requestClass;
import static loadbalancer.node.control.Samples.service;
import static loadbalancer.node.control.Samples.tenant;
import static loadbalancer.node.control.Samples.upstream;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Acknowledgement.Status;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Upstream;
import loadbalancer.node.Config;
import loadbalancer.node.StateStorage;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.settings.ControlSubscription.ListSource;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.LoadedSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Updates from control servers, and reloads of the local file. */
class ControlBindingTest extends ControlBindingFixture {
    @Test
    void appliesUpdateBeforeAcknowledgingIt() throws Exception {
        assertEquals(Samples.file(), start(ListSource.DISCOVERY, StateStorage.NONE).facts());
        assertEquals(Revision.NONE, next(opened).revision());
        assertTrue(metrics.render().contains("app.control_connected:0|g"), metrics.render());
        Acknowledgement first =
                publish(FIRST, service(), requestClass("order", 4), tenant("bolt"), limits(2));
        assertEquals(Status.IN_FORCE, first.status());
        assertEquals(FIRST, first.inForce());
        assertEquals(List.of("order"), settings.get(0).classNames());
        assertEquals(2, settings.get(0).settings().limits().maxAttempts());
        assertTrue(
                metrics.render()
                        .contains(
                                "app.control_epoch:3|g\napp.control_revision:17|g\n"
                                        + "app.control_connected:1|g\napp.control_refusals:0|c"),
                metrics.render());
    }

    @Test
    void doesNotApplySettingsThatAreUnchanged() throws Exception {
        start(ListSource.DISCOVERY, StateStorage.NONE);
        publish(FIRST, service(), requestClass("order", 4), upstream("a", Upstream.State.READY));
        publish(SECOND, upstream("a", Upstream.State.DRAINING));
        assertEquals(1, settings.size());
        assertEquals(List.of(), lists, "the list comes from discovery");
    }

    /**
     * A timer of the event loop that is always due must run between any two slices of 64 resources.
     */
    @Test
    void runsOtherTasksBetweenSlicesOfAnUpdate() throws Exception {
        start(ListSource.DISCOVERY, StateStorage.NONE);
        group.next().execute(this::tick);
        List<Resource> put = new ArrayList<>(List.of(service(), requestClass("order", 4)));
        for (int number = 0; number < 1_000; number++) {
            put.add(tenant("tenant-" + number));
        }
        assertEquals(Status.IN_FORCE, publish(FIRST, put, List.of()).status());
        assertTrue(
                ticksAtAcknowledgement >= 1_000 / 64,
                "ticks until the acknowledgement: " + ticksAtAcknowledgement);
        assertEquals(1_000, settings.get(0).tenantNames().size());
    }

    private void tick() {
        ticks++;
        group.next().schedule(this::tick, 0, TimeUnit.NANOSECONDS);
    }

    @Test
    void rejectsUpdateThatDeletesAllClasses() throws Exception {
        start(ListSource.DISCOVERY, StateStorage.NONE);
        publish(FIRST, service(), requestClass("order", 4));
        assertRejected(
                publish(SECOND, List.of(tenant("bolt")), List.of(requestClass("order", 4).id())),
                "service shop/shop",
                "must keep at least one request class");
        assertEquals(1, settings.size());
        assertEquals(Samples.file().tenantNames(), settings.get(0).tenantNames());
    }

    @ParameterizedTest
    @ValueSource(strings = {"deadline", "attempts"})
    void rejectsUpdateWithInvalidValue(String setting) throws Exception {
        start(ListSource.DISCOVERY, StateStorage.NONE);
        publish(FIRST, service(), requestClass("order", 4));
        boolean isDeadline = setting.equals("deadline");
        assertRejected(
                publish(
                        SECOND,
                        tenant("bolt"),
                        isDeadline ? requestClass("order", 1e-9) : limits(0)),
                isDeadline ? "service shop/shop" : "limits shop/limits field maxAttempts",
                isDeadline
                        ? "invalid setting: requestClasses.clientTimeoutMicros"
                        : "expected a number above 0");
        assertEquals(1, settings.size());
    }

    @Test
    void passesCompleteEndpointListToBalancer() throws Exception {
        start(ListSource.CONTROL, StateStorage.NONE);
        publish(
                FIRST,
                service(),
                upstream("a", Upstream.State.READY),
                upstream("b", Upstream.State.READY));
        publish(
                SECOND,
                List.of(upstream("a", Upstream.State.DRAINING)),
                List.of(upstream("b", Upstream.State.READY).id()));
        assertEquals(List.of(17L, 18L), lists.stream().map(EndpointListUpdate::version).toList());
        EndpointListUpdate last = lists.get(1);
        assertTrue(last.isComplete());
        assertEquals(1, last.entries().size());
        assertEquals(EndpointState.DRAINING, last.entries().get(0).state());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void rejectsUpdateWithoutUpstreamsOrService(boolean isServiceDeleted) throws Exception {
        start(ListSource.CONTROL, StateStorage.NONE);
        Upstream only = upstream("a", Upstream.State.READY);
        publish(FIRST, service(), only);
        List<ResourceId> deleted =
                isServiceDeleted ? List.of(only.id(), service().id()) : List.of(only.id());
        assertRejected(
                publish(SECOND, List.of(), deleted),
                "service shop/shop",
                isServiceDeleted
                        ? "must not be deleted; the state in force is kept"
                        : "has no upstream; at least one is required");
        assertEquals(1, lists.size());
    }

    @Test
    void overlaysControlResourcesOnReloadedFile() throws Exception {
        Config before = start(ListSource.DISCOVERY, StateStorage.NONE);
        publish(FIRST, service(), requestClass("order", 4));
        LoadedSettings file = Samples.file();
        Config changed =
                before.with(
                        new LoadedSettings(
                                file.settings().withoutPeers(),
                                file.reportValueNames(),
                                file.classNames(),
                                List.of("zoe", "bolt"),
                                file.zoneNames(),
                                file.machineKindNames()));
        Config merged = onLoop(() -> binding.overlay(changed));
        assertEquals(List.of("order"), merged.facts().classNames());
        assertEquals(List.of("zoe", "bolt"), merged.facts().tenantNames());
        publish(SECOND, requestClass("order", 5));
        assertEquals(List.of("zoe", "bolt"), settings.get(1).tenantNames());
    }

    @Test
    void keepsConfigurationWhenReloadIsInvalid() throws Exception {
        Config before = start(ListSource.DISCOVERY, StateStorage.NONE);
        publish(FIRST, service(), requestClass("order", 4));
        LoadedSettings file = Samples.file();
        String message =
                onLoop(
                        () -> {
                            try {
                                return binding.overlay(before.with(withInvalidZone(file)))
                                        .toString();
                            } catch (InvalidInputException e) {
                                return e.getMessage();
                            }
                        });
        assertEquals("invalid setting: zoneIndex", message);
        publish(SECOND, requestClass("order", 5));
        assertEquals(file.tenantNames(), settings.get(1).tenantNames());
    }

    private static LoadedSettings withInvalidZone(LoadedSettings file) {
        return new LoadedSettings(
                new LoadBalancerSettings(
                        5,
                        1,
                        0,
                        1,
                        file.settings().requestClasses(),
                        file.settings().tenantQuotas(),
                        1,
                        false,
                        file.settings().limits(),
                        file.settings().ruleLimits(),
                        file.settings().prices(),
                        file.settings().loadReportSource(),
                        file.settings().capacityWeightKind(),
                        false,
                        false,
                        0),
                file.reportValueNames(),
                file.classNames(),
                List.of("zoe", "bolt"),
                file.zoneNames(),
                file.machineKindNames());
    }
}
