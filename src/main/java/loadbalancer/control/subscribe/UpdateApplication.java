package loadbalancer.control.subscribe;

import java.util.List;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.VersionedResource;

/** Puts a checked update in force in slices. */
interface UpdateApplication {
    /** Applies up to {@code resources} resources; returns whether all are applied. */
    boolean run(int resources);

    /**
     * Returns the state with the update, which is complete once all resources are applied. Its
     * revision is still the previous one.
     */
    ResourceState result();

    /** Returns whether the result is a different object than the previous state. */
    boolean isSnapshot();

    /** Returns the resources that a delta has put so far; empty for a snapshot. */
    List<VersionedResource> put();

    /** Returns the resources that a delta has deleted so far; empty for a snapshot. */
    List<ResourceId> deleted();
}
