package loadbalancer.control.subscribe;

import java.util.Set;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.VersionedResource;

/**
 * Checks and receives the updates of a subscriber. The consumer is a balancer, or a follower that
 * publishes to other subscribers. Called on the subscriber's thread.
 */
public interface UpdateConsumer {
    /**
     * Checks one resource of an update before any part of the update is in force.
     *
     * @throws InvalidChangeException to reject the entire update
     */
    void check(VersionedResource resource) throws InvalidChangeException;

    /**
     * Checks services with changed resources before the update is in force. The services of an
     * update are divided over several calls, so that a call takes no longer than a slice unless a
     * single service exceeds it.
     *
     * @param after the resources as they would be with the update in force
     * @throws InvalidChangeException to reject the entire update
     */
    void checkServices(ResourceView after, Set<String> services) throws InvalidChangeException;

    /**
     * Receives an update that is in force; the state is complete at its new revision. Must take no
     * longer than a slice.
     *
     * @param state the state in force; a different object than before if the update is a snapshot
     */
    void updateApplied(AppliedUpdate update, ResourceState state);
}
