package loadbalancer.node.control;

import static loadbalancer.node.control.Samples.limits;
import static loadbalancer.node.control.Samples.requestClass;
import static loadbalancer.node.control.Samples.service;
import static loadbalancer.node.control.Samples.tenant;
import static loadbalancer.node.control.Samples.upstream;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Acknowledgement.Status;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.Service;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.UpdatePart;
import loadbalancer.control.model.Upstream;
import loadbalancer.control.subscribe.SubscriptionTransport;
import loadbalancer.http1.control.SubscriptionEvents;
import loadbalancer.node.Config;
import loadbalancer.node.ConfigTarget;
import loadbalancer.node.StateStorage;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.ProcessMetrics;
import loadbalancer.settings.ControlSubscription;
import loadbalancer.settings.ControlSubscription.ListSource;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.SettingsReader;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.snapshot.InvalidSnapshotException;
import loadbalancer.transport.SocketTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A balancer's binding with a control machine of the test's own, which is called instead of
 * connected to.
 */
class ControlBindingTest {
    private static final int PATIENCE_SECONDS = 20;
    private static final Revision FIRST = new Revision(3, 17);
    private static final Revision SECOND = new Revision(3, 18);

    @TempDir Path folder;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final SocketTransport transport = new SocketTransport(group.next());
    private final ProcessMetrics figures = new ProcessMetrics();
    private final BlockingQueue<SubscribeRequest> opened = new LinkedBlockingQueue<>();
    private final BlockingQueue<Acknowledgement> acknowledged = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> written = new LinkedBlockingQueue<>();
    private final List<SettingsReader.Found> settings = new ArrayList<>();
    private final List<EndpointListUpdate> lists = new ArrayList<>();
    private SubscriptionEvents events;
    private int ticks;
    private volatile int ticksAtAcknowledgement;
    private ControlBinding binding;
    private ResourceState published = new ResourceState();

    @AfterEach
    void endLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private final class Connections implements SubscriptionTransport {
        @Override
        public void open(int server, SubscribeRequest request) {
            opened.add(request);
        }

        @Override
        public void pauseReading(boolean paused) {}

        @Override
        public void close() {}

        @Override
        public void acknowledge(int server, Acknowledgement acknowledgement) {
            ticksAtAcknowledgement = ticks;
            acknowledged.add(acknowledgement);
        }
    }

    private final class RecordingBalancer implements ConfigTarget {
        @Override
        public void settings(SettingsReader.Found facts) {
            settings.add(facts);
        }

        @Override
        public void list(EndpointListUpdate whole) {
            lists.add(whole);
        }

        @Override
        public void listUnavailable() {}
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return group.next().submit(task).sync().getNow();
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T found = queue.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
        assertNotNull(found, "nothing came");
        return found;
    }

    /** A start of the process; gives what it goes by. */
    private Config start(ListSource list, StateStorage storage) throws Exception {
        ControlSubscription subscription =
                new ControlSubscription(
                        "lb-1", Samples.SERVICE, List.of("127.0.0.1:9", "127.0.0.1:10"), "z", list);
        return onLoop(
                () -> {
                    binding =
                            new ControlBinding(
                                    transport,
                                    subscription,
                                    storage,
                                    figures,
                                    new Connections(),
                                    listener -> events = listener);
                    Config config = binding.atStart(Samples.config());
                    binding.begin(new RecordingBalancer());
                    binding.lead(true);
                    return config;
                });
    }

    private StateStorage onDisk() {
        return new StateStorage(
                new DirectoryStorage(folder),
                task -> {
                    task.run();
                    written.add("written");
                });
    }

    private Path stateFile() {
        return folder.resolve("control-lb-1.state");
    }

    /** Sends one update that adds, replaces and deletes; gives what became of it. */
    private Acknowledgement publish(Revision to, List<Resource> put, List<ResourceId> deleted)
            throws Exception {
        Revision from = published.revision();
        published.apply(to, new Change("c", put, deleted));
        UpdatePart part =
                new UpdatePart(
                        from,
                        0,
                        put.stream().map(r -> published.get(r.id())).toList(),
                        deleted,
                        new UpdatePart.Completion(to, published.digest(Scope.of(Samples.SERVICE))));
        byte[] line = ResourceCodec.encode(part);
        onLoop(
                () -> {
                    ticks = 0;
                    events.line(line);
                    return null;
                });
        return next(acknowledged);
    }

    private Acknowledgement publish(Revision to, Resource... put) throws Exception {
        return publish(to, List.of(put), List.of());
    }

    private void assertRefused(Acknowledgement refusal, String place, String reason)
            throws Exception {
        assertEquals(Status.REJECTED, refusal.status());
        assertEquals(FIRST, refusal.inForce());
        assertTrue(
                (refusal.place() + ": " + refusal.reason()).contains(place + ": " + reason),
                refusal.toString());
        assertTrue(figures.text().contains("app.control_refusals:1|c"), figures.text());
        assertTrue(figures.text().contains("app.control_revision:17|g"), figures.text());
    }

    @Test
    void anUpdateIsInForceBeforeItIsAcknowledged() throws Exception {
        assertEquals(Samples.file(), start(ListSource.DISCOVERY, StateStorage.NONE).facts());
        assertEquals(Revision.NONE, next(opened).revision());
        assertTrue(figures.text().contains("app.control_connected:0|g"), figures.text());
        Acknowledgement first =
                publish(FIRST, service(), requestClass("order", 4), tenant("bolt"), limits(2));
        assertEquals(Status.IN_FORCE, first.status());
        assertEquals(FIRST, first.inForce());
        assertEquals(List.of("order"), settings.get(0).classes());
        assertEquals(2, settings.get(0).settings().limits().maxAttempts());
        assertTrue(
                figures.text()
                        .contains(
                                "app.control_epoch:3|g\napp.control_revision:17|g\n"
                                        + "app.control_connected:1|g\napp.control_refusals:0|c"),
                figures.text());
    }

    @Test
    void whatChangesNoSettingIsNotToldToTheBalancer() throws Exception {
        start(ListSource.DISCOVERY, StateStorage.NONE);
        publish(FIRST, service(), requestClass("order", 4), upstream("a", Upstream.State.READY));
        publish(SECOND, upstream("a", Upstream.State.DRAINING));
        assertEquals(1, settings.size());
        assertEquals(List.of(), lists, "discovery tells the list");
    }

    /** A timer of the loop that is always due runs between any two slices of 64 resources. */
    @Test
    void theLoopComesToItsOtherWorkBetweenTheSlicesOfAnUpdate() throws Exception {
        start(ListSource.DISCOVERY, StateStorage.NONE);
        group.next().execute(this::tick);
        List<Resource> put = new ArrayList<>(List.of(service(), requestClass("order", 4)));
        for (int number = 0; number < 1_000; number++) {
            put.add(tenant("tenant-" + number));
        }
        assertEquals(Status.IN_FORCE, publish(FIRST, put, List.of()).status());
        assertTrue(ticksAtAcknowledgement >= 1_000 / 64, "only " + ticksAtAcknowledgement);
        assertEquals(1_000, settings.get(0).tenants().size());
    }

    private void tick() {
        ticks++;
        group.next().schedule(this::tick, 0, TimeUnit.NANOSECONDS);
    }

    @Test
    void aServiceThatLostAllItsClassesIsRefused() throws Exception {
        start(ListSource.DISCOVERY, StateStorage.NONE);
        publish(FIRST, service(), requestClass("order", 4));
        assertRefused(
                publish(SECOND, List.of(tenant("bolt")), List.of(requestClass("order", 4).id())),
                "service shop/shop",
                "has all its classes deleted");
        assertEquals(1, settings.size());
        assertEquals(Samples.file().tenants(), settings.get(0).tenants());
    }

    @ParameterizedTest
    @ValueSource(strings = {"deadline", "attempts"})
    void aValueThatNoFileMayHaveIsRefused(String what) throws Exception {
        start(ListSource.DISCOVERY, StateStorage.NONE);
        publish(FIRST, service(), requestClass("order", 4));
        boolean deadline = what.equals("deadline");
        assertRefused(
                publish(SECOND, tenant("bolt"), deadline ? requestClass("order", 1e-9) : limits(0)),
                deadline ? "service shop/shop" : "limits shop/limits field maxAttempts",
                deadline
                        ? "invalid setting: requestClasses.clientTimeoutMicros"
                        : "expected a number above 0");
        assertEquals(1, settings.size());
    }

    @Test
    void listOfControlIsToldWhole() throws Exception {
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
        assertTrue(last.full());
        assertEquals(1, last.entries().size());
        assertEquals(EndpointState.DRAINING, last.entries().get(0).state());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anEmptyListOrAServiceThatIsGoneIsRefused(boolean gone) throws Exception {
        start(ListSource.CONTROL, StateStorage.NONE);
        Upstream only = upstream("a", Upstream.State.READY);
        publish(FIRST, service(), only);
        List<ResourceId> deleted = gone ? List.of(only.id(), service().id()) : List.of(only.id());
        assertRefused(
                publish(SECOND, List.of(), deleted),
                "service shop/shop",
                gone ? "is deleted; the state in force is kept" : "lists no upstream");
        assertEquals(1, lists.size());
    }

    @Test
    void aReloadOfTheFileLaysControlOverIt() throws Exception {
        Config before = start(ListSource.DISCOVERY, StateStorage.NONE);
        publish(FIRST, service(), requestClass("order", 4));
        SettingsReader.Found file = Samples.file();
        Config changed =
                before.with(
                        new SettingsReader.Found(
                                file.settings().withoutPeers(),
                                file.reportNames(),
                                file.classes(),
                                List.of("zoe", "bolt"),
                                file.zones(),
                                file.kinds()));
        Config merged = onLoop(() -> binding.over(changed));
        assertEquals(List.of("order"), merged.facts().classes());
        assertEquals(List.of("zoe", "bolt"), merged.facts().tenants());
        publish(SECOND, requestClass("order", 5));
        assertEquals(List.of("zoe", "bolt"), settings.get(1).tenants());
    }

    @Test
    void aStartWithControlDownGoesByWhatWasInForce() throws Exception {
        start(ListSource.CONTROL, onDisk());
        next(opened);
        publish(FIRST, service(), requestClass("order", 4), upstream("a", Upstream.State.DRAINING));
        next(written);
        Config again = start(ListSource.CONTROL, onDisk());
        assertEquals(List.of("order"), again.facts().classes());
        assertEquals("a", again.known().entries().get(0).id());
        assertEquals(17, again.known().version());
        SubscribeRequest request = next(opened);
        assertEquals(FIRST, request.revision());
        assertEquals(published.digest(Scope.of(Samples.SERVICE)), request.digest());
        lists.clear();
        onLoop(
                () -> {
                    events.heartbeat();
                    return null;
                });
        assertEquals(1, lists.size(), "the list it started from is confirmed");
    }

    @ParameterizedTest
    @ValueSource(strings = {"torn", "foreign", "newer", "of another service"})
    void aFileThatCannotBeUsedIsNoReasonNotToStart(String why) throws Exception {
        start(ListSource.DISCOVERY, onDisk());
        next(opened);
        publish(FIRST, service(), requestClass("order", 4));
        next(written);
        spoil(why);
        assertEquals(Samples.file(), start(ListSource.DISCOVERY, onDisk()).facts());
        assertEquals(Revision.NONE, next(opened).revision());
    }

    private void spoil(String why) throws IOException {
        String good = Files.readString(stateFile());
        switch (why) {
            case "torn" -> Files.writeString(stateFile(), good.substring(0, good.length() - 20));
            case "foreign" -> Files.writeString(stateFile(), "noise\n");
            case "newer" ->
                    Files.writeString(
                            stateFile(),
                            good.replaceFirst("yewyoke-control 1 ", "yewyoke-control 2 "));
            default -> Files.write(stateFile(), ofAnotherService());
        }
    }

    private byte[] ofAnotherService() throws IOException {
        try {
            AppliedStateFiles files =
                    new AppliedStateFiles(
                            new DirectoryStorage(folder), "control-lb-2.state", "w", 1 << 20);
            ResourceState other = Samples.state(FIRST, new Service("till", null, null));
            files.write(new AppliedStateFiles.Copy(FIRST, other.resources().toList()));
            return Files.readAllBytes(folder.resolve("control-lb-2.state"));
        } catch (InvalidSnapshotException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aFileThatDoesNotGoWithControlChangesNothing() throws Exception {
        Config before = start(ListSource.DISCOVERY, StateStorage.NONE);
        publish(FIRST, service(), requestClass("order", 4));
        SettingsReader.Found file = Samples.file();
        var zone =
                new SettingsReader.Found(
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
                        file.reportNames(),
                        file.classes(),
                        List.of("zoe", "bolt"),
                        file.zones(),
                        file.kinds());
        String refusal =
                onLoop(
                        () -> {
                            try {
                                return binding.over(before.with(zone)).toString();
                            } catch (InvalidInputException e) {
                                return e.getMessage();
                            }
                        });
        assertEquals("invalid setting: zoneIndex", refusal);
        publish(SECOND, requestClass("order", 5));
        assertEquals(file.tenants(), settings.get(1).tenants());
    }
}
