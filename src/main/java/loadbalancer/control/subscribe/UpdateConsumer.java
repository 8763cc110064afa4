package loadbalancer.control.subscribe;

import java.util.Set;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.VersionedResource;

/**
 * Checks and receives the updates of a subscriber: a balancer, or a publisher that follows another.
 * Called on the subscriber's thread.
 */
public interface UpdateConsumer {
    /**
     * Checks one resource of an update before any of the update is in force.
     *
     * @throws InvalidChangeException to reject the whole update
     */
    void check(VersionedResource resource) throws InvalidChangeException;

    /**
     * Checks services that an update touches, before it is in force. An update that touches many
     * services is checked in several calls, each with some of them, so that a call takes no more
     * than a slice's time unless one service alone does.
     *
     * @param after the resources as they would be with the update
     * @throws InvalidChangeException to reject the whole update
     */
    void checkServices(ResourceView after, Set<String> services) throws InvalidChangeException;

    /**
     * An update is in force: the state is complete at its new revision. Must take no more than a
     * slice's time.
     *
     * @param state the state in force; another object than before if the update is a snapshot
     */
    void updateApplied(AppliedUpdate update, ResourceState state);
}
