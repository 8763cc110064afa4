package loadbalancer.node.control.server;

import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.http1.control.ChangeHandler;
import loadbalancer.http1.control.PublisherRunner;

/**
 * The source of a control machine's state: it accepts changes or follows another machine. For the
 * loop's thread, except where a method says otherwise.
 */
interface MachineRole extends ChangeHandler {
    /** The state that is published; always the same object. */
    ResourceState state();

    /** Why no subscriber can be served yet; empty if any can. */
    String notReadyReason();

    /** Starts to change the state, and notifies the publisher each time. */
    void start(PublisherRunner publisher);

    /** Another machine is at that revision; a writer of a lower epoch accepts no more changes. */
    void observeRevision(Revision revision);

    /** Stops changing the state. */
    void stop();

    /**
     * Writes what is still to be stored and ends the role's threads; not on the loop, after {@link
     * #stop}.
     */
    void close();
}
