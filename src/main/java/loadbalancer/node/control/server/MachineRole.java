package loadbalancer.node.control.server;

import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.http1.control.ChangeHandler;
import loadbalancer.http1.control.PublisherRunner;

/**
 * Where the state of a control machine comes from, and who takes changes to it. Used on the loop.
 */
interface MachineRole extends ChangeHandler {
    /** What is published; always the same object. */
    ResourceState state();

    /** Why no subscriber can be served yet; empty if any can. */
    String whyNotReady();

    /** Begins to change the state, and tells the publisher each time. */
    void start(PublisherRunner publisher);

    /** Another machine is at that revision; a writer of a lower epoch takes no more changes. */
    void heardOf(Revision revision);

    /** Changes the state no more. */
    void stop();

    /**
     * Writes what is still to be kept and ends the role's threads; not on the loop, after {@link
     * #stop}.
     */
    void close();
}
