package loadbalancer.node.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.model.UpdatePart;
import loadbalancer.control.model.Upstream;
import loadbalancer.http1.control.SubscriberRunner;
import loadbalancer.node.SharedState;
import loadbalancer.node.StateStorage;
import loadbalancer.settings.ControlSubscription.ListSource;
import org.junit.jupiter.api.Test;

/**
 * The process of a balancer that does not subscribe to control follows the one that does, and no
 * revision ever goes back.
 */
class SharedControlStateTest extends ControlBindingFixture {
    /** So many that they are applied in more than 60 slices. */
    private static final int MANY_RESOURCES = 4_000;

    private static final Revision THIRD = new Revision(FIRST.epoch(), FIRST.number() + 2);

    private static Resource[] resources(Upstream.State state) {
        return new Resource[] {
            Samples.service(), Samples.limits(2), Samples.upstream("one", state)
        };
    }

    @SuppressWarnings("unchecked")
    private SharedState<ResourceState> shared() {
        return (SharedState<ResourceState>) binding.sharedState().orElseThrow();
    }

    /** Adopts a state as the other process has shared it, through its encoded form. */
    private void adopt(Revision revision, Upstream.State upstream) throws Exception {
        ResourceState state = Samples.state(revision, resources(upstream));
        byte[] encoded = new AppliedStateFormat(1 << 20).encode(AppliedStateFiles.Copy.of(state));
        onLoop(
                () -> {
                    shared().adopt(shared().decode(encoded));
                    return null;
                });
    }

    private void setLeading(boolean leads) throws Exception {
        onLoop(
                () -> {
                    binding.setLeading(leads);
                    return null;
                });
    }

    private void startAndPublishFirst() throws Exception {
        start(ListSource.CONTROL, StateStorage.NONE);
        next(opened);
        publish(FIRST, resources(Upstream.State.READY));
    }

    @Test
    void processThatNoLongerSubscribesAppliesListAndSettingsOfTheOther() throws Exception {
        startAndPublishFirst();
        setLeading(false);
        settings.clear();
        lists.clear();
        adopt(SECOND, Upstream.State.DRAINING);
        assertEquals(
                List.of(loadbalancer.EndpointState.DRAINING),
                lists.get(0).entries().stream().map(entry -> entry.state()).toList());
        assertEquals(0, settings.size(), "the settings are the same");
        assertTrue(metrics.render().contains("app.control_revision:" + SECOND.number() + "|g"));
    }

    @Test
    void olderRevisionIsNotAdopted() throws Exception {
        startAndPublishFirst();
        setLeading(false);
        adopt(THIRD, Upstream.State.DRAINING);
        lists.clear();
        adopt(SECOND, Upstream.State.READY);
        assertTrue(lists.isEmpty());
        assertTrue(metrics.render().contains("app.control_revision:" + THIRD.number() + "|g"));
    }

    /** Guards against a successor that goes back to the revision that it was started with. */
    @Test
    void processThatDoesNotSubscribeYetTakesTheStateAndSubscribesFromThere() throws Exception {
        start(ListSource.CONTROL, StateStorage.NONE);
        setLeading(false);
        opened.clear();
        adopt(SECOND, Upstream.State.DRAINING);
        assertEquals(1, restoredLists.size(), "no control server has confirmed this list yet");
        assertEquals(2, settings.get(0).settings().limits().maxAttempts());
        setLeading(true);
        assertEquals(SECOND, next(opened).revision());
    }

    /** Guards against a stopping process without updates after the end of its successor. */
    @Test
    void processWhoseSuccessorHasEndedSubscribesAgainFromTheNewestState() throws Exception {
        startAndPublishFirst();
        setLeading(false);
        adopt(SECOND, Upstream.State.DRAINING);
        setLeading(true);
        assertEquals(SECOND, next(opened).revision());
    }

    @Test
    void subscriptionStartsAnewFromANewerStateOfTheOther() throws Exception {
        startAndPublishFirst();
        adopt(SECOND, Upstream.State.DRAINING);
        assertEquals(SECOND, next(opened).revision());
    }

    /** Guards against a state of the other process that is lost since it came during an update. */
    @Test
    void stateThatComesWhileAnUpdateIsAppliedIsTakenAfterIt() throws Exception {
        startAndPublishFirst();
        List<Resource> tenants = new ArrayList<>();
        for (int i = 0; i < MANY_RESOURCES; i++) {
            tenants.add(new Tenant(Samples.SERVICE, "tenant-" + i, 0, 0.0001));
        }
        Thread publisher = publishInBackground(SECOND, tenants);
        ResourceState other = Samples.state(THIRD, resources(Upstream.State.DRAINING));
        boolean isAdopted = false;
        while (!isAdopted) {
            assertTrue(publisher.isAlive(), "the update was not seen half applied");
            isAdopted = onLoop(() -> adoptIfApplying(other));
        }
        publisher.join();
        assertTrue(metrics.render().contains("app.control_revision:" + SECOND.number() + "|g"));
        setLeading(true);
        assertTrue(metrics.render().contains("app.control_revision:" + THIRD.number() + "|g"));
        assertEquals(THIRD, next(opened).revision());
    }

    private Thread publishInBackground(Revision revision, List<Resource> resources) {
        Thread publisher =
                new Thread(
                        () -> {
                            try {
                                publish(revision, resources, List.of());
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        });
        publisher.start();
        return publisher;
    }

    /** An update that is partly applied can't be shared. */
    private boolean adoptIfApplying(ResourceState other) {
        boolean isApplying = shared().encoder().isEmpty();
        if (isApplying) {
            shared().adopt(other);
        }
        return isApplying;
    }

    /** Guards against two processes that wait for each other if nothing is shared. */
    @Test
    void processThatGetsNoListFromTheOtherSubscribesUntilItHasOne() throws Exception {
        start(ListSource.CONTROL, StateStorage.NONE);
        setLeading(false);
        opened.clear();
        int closedBefore = closedConnections;
        long startedAtNanos = System.nanoTime();
        while (opened.isEmpty()) {
            setLeading(false);
            TimeUnit.MILLISECONDS.sleep(10);
            long waitedSeconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAtNanos);
            assertTrue(waitedSeconds < TIMEOUT_SECONDS, "did not subscribe");
        }
        publish(FIRST, resources(Upstream.State.READY));
        assertEquals(1, lists.size());
        assertEquals(closedBefore, closedConnections);
        setLeading(false);
        assertEquals(closedBefore + 1, closedConnections, "the other process may subscribe again");
    }

    @Test
    void processWithDiscoveryWaitsForTheOtherWithoutSubscribing() throws Exception {
        start(ListSource.DISCOVERY, StateStorage.NONE);
        setLeading(false);
        opened.clear();
        long startedAtNanos = System.nanoTime();
        while (System.nanoTime() - startedAtNanos < TimeUnit.SECONDS.toNanos(3)) {
            setLeading(false);
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertTrue(opened.isEmpty());
    }

    /** Guards against a process that neither stops nor follows after its subscriber has failed. */
    @Test
    void processWhoseSubscriberFailsFollowsTheOther() throws Exception {
        start(ListSource.CONTROL, StateStorage.NONE);
        next(opened);
        publishEmptySnapshot(FIRST);
        setLeading(false);
        adopt(SECOND, Upstream.State.DRAINING);
        assertTrue(metrics.render().contains("app.control_revision:" + SECOND.number() + "|g"));
        setLeading(true);
        assertEquals(SECOND, next(opened).revision());
    }

    /** Delivers an empty snapshot, which fails when it is applied, and waits for that. */
    private void publishEmptySnapshot(Revision to) throws Exception {
        published.apply(to, new Change("c", List.of(), List.of()));
        UpdatePart.Completion completion =
                new UpdatePart.Completion(to, published.digest(Scope.of(Samples.SERVICE)));
        byte[] line =
                ResourceCodec.encode(
                        new UpdatePart(Revision.NONE, 0, List.of(), List.of(), completion));
        BlockingQueue<LogRecord> failures = new LinkedBlockingQueue<>();
        Handler handler = recordErrors(failures);
        Logger logger = Logger.getLogger(SubscriberRunner.class.getName());
        logger.addHandler(handler);
        try {
            onLoop(
                    () -> {
                        events.line(line);
                        return null;
                    });
            next(failures);
        } finally {
            logger.removeHandler(handler);
        }
    }

    private static Handler recordErrors(BlockingQueue<LogRecord> failures) {
        return new Handler() {
            @Override
            public void publish(LogRecord entry) {
                failures.add(entry);
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
    }

    @Test
    void stateOfAnotherServiceIsIgnored() throws Exception {
        startAndPublishFirst();
        setLeading(false);
        lists.clear();
        ResourceState foreign =
                Samples.state(
                        SECOND,
                        new loadbalancer.control.model.Service("other", List.of(), List.of()));
        onLoop(
                () -> {
                    shared().adopt(foreign);
                    return null;
                });
        assertTrue(lists.isEmpty());
        assertTrue(metrics.render().contains("app.control_revision:" + FIRST.number() + "|g"));
    }
}
