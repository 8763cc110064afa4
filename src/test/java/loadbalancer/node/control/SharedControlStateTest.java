package loadbalancer.node.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Upstream;
import loadbalancer.node.SharedState;
import loadbalancer.node.StateStorage;
import loadbalancer.settings.ControlSubscription.ListSource;
import org.junit.jupiter.api.Test;

/**
 * The process of a balancer that does not subscribe to control follows the one that does, and no
 * revision ever goes back.
 */
class SharedControlStateTest extends ControlBindingFixture {
    private static final Revision SECOND = new Revision(FIRST.epoch(), FIRST.number() + 1);
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
