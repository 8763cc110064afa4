package loadbalancer.control.subscribe;

import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Revision;

/**
 * Reports what becomes of updates: to the server by acknowledgements, and to the status by the last
 * failure. For one thread.
 */
final class SubscriberReports {
    private final ServerConnection connection;
    private final PhaseMachine phases;
    private final AppliedState applied;
    private final LastFailure lastFailure = new LastFailure();

    SubscriberReports(ServerConnection connection, PhaseMachine phases, AppliedState applied) {
        this.connection = connection;
        this.phases = phases;
        this.applied = applied;
    }

    /** Acknowledges the revision in force. */
    void acknowledge() {
        if (phases.isConnected()) {
            connection.acknowledge(applied);
        }
    }

    /** An update is completed: earlier failures are over. */
    void completed() {
        lastFailure.clear();
        connection.resetBackoff();
        acknowledge();
    }

    /** The update to that revision is rejected. */
    void rejected(Revision target, InvalidChangeException reason) {
        lastFailure.set("update to " + target + " rejected: " + reason.getMessage());
        if (phases.isConnected()) {
            connection.reject(applied, target, reason);
        }
    }

    /** The subscription has failed or was ended by the server. */
    void disconnected(String reason) {
        lastFailure.set(reason);
    }

    /** One line on the last failure; empty for none. */
    String lastFailure() {
        return lastFailure.line();
    }
}
