package loadbalancer.control.subscribe;

import java.util.List;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.VersionedResource;

/** The work of putting a checked update in force, in slices. */
interface UpdateApplication {
    /** Applies up to that many resources; true once all are applied. */
    boolean run(int resources);

    /**
     * The state with the update, whose revision is still to be set; complete once all is applied.
     */
    ResourceState result();

    /** Whether the result is another object than the state before. */
    boolean isSnapshot();

    /** The resources put by a delta. */
    List<VersionedResource> put();

    /** The resources deleted by a delta. */
    List<ResourceId> deleted();
}
