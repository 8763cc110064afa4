package loadbalancer.control.subscribe;

import java.util.Set;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.VersionedResource;

/**
 * Whoever uses the resources that a subscriber holds: a balancer, or a publisher that follows
 * another.
 */
public interface UpdateConsumer {
    /**
     * Checks one resource of an update before any of the update is in force. The first complaint
     * rejects the whole update.
     */
    void check(VersionedResource resource) throws InvalidChangeException;

    /**
     * Checks what the update makes of services that it touches, before it is in force; may fail to
     * reject it. An update that touches many services is checked in several calls, each with some
     * of them, so that a call takes no more than a slice's time unless one service alone does.
     *
     * @param after the resources as they would be afterwards
     */
    void checkServices(ResourceView after, Set<String> services) throws InvalidChangeException;

    /**
     * The update is in force: the state is whole at its new revision. Takes no more than a slice's
     * time; what takes longer is done later.
     *
     * @param state what is in force; another object than before if the update is a snapshot
     */
    void inForce(AppliedUpdate update, ResourceState state);
}
