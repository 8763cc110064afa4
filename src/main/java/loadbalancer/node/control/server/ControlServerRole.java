package loadbalancer.node.control.server;

import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.http1.control.ChangeHandler;
import loadbalancer.http1.control.PublisherRunner;

/**
 * The role of a control server, which owns its state: a writer accepts changes, a follower receives
 * them from a writer. Used on the event loop, except where a method says otherwise.
 */
interface ControlServerRole extends ChangeHandler {
    /** Returns the published state, which is always the same object. */
    ResourceState state();

    /** Returns why no subscriber can be served yet; empty if subscribers can be served. */
    String notReadyReason();

    /** Starts to change the state, and notifies the publisher of each change. */
    void start(PublisherRunner publisher);

    /**
     * Called with the revision of another control server. A writer whose epoch is lower stops
     * accepting changes.
     */
    void observeRevision(Revision revision);

    /** Stops changing the state. */
    void stop();

    /**
     * Writes unsaved state and ends the role's threads. Called after {@link #stop}, and not on the
     * event loop.
     */
    void close();
}
