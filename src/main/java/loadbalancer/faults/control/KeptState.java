package loadbalancer.faults.control;

import java.util.List;
import java.util.random.RandomGenerator;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;

/** What a subscriber has on its disk: what was in force at one of its last updates. */
final class KeptState {
    private static final int UPDATES_BETWEEN = 3;

    private final RandomGenerator random;
    private Revision revision = Revision.NONE;
    private List<VersionedResource> resources = List.of();

    KeptState(RandomGenerator random) {
        this.random = random;
    }

    /** An update is in force; it is written now and then. */
    void changed(ResourceState state) {
        if (random.nextInt(UPDATES_BETWEEN) == 0) {
            revision = state.revision();
            resources = state.resources().toList();
        }
    }

    /** The disk is lost. */
    void clear() {
        revision = Revision.NONE;
        resources = List.of();
    }

    /** What a new process reads. */
    ResourceState load() {
        ResourceState state = new ResourceState();
        resources.forEach(state::put);
        state.advance(revision);
        return state;
    }
}
