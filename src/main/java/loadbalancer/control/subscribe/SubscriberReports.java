package loadbalancer.control.subscribe;

import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Revision;

/**
 * Reports the results of updates to the server as acknowledgements, and the last failure to the
 * status. Not thread-safe.
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

    /** Acknowledges the revision in force if a subscription is open. */
    void acknowledge() {
        if (phases.isConnected()) {
            connection.acknowledge(applied);
        }
    }

    /** Reports a completed update; clears the last failure and resets the retry delay. */
    void updateCompleted() {
        lastFailure.clear();
        connection.resetBackoff();
        acknowledge();
    }

    /** Reports the rejection of the update to revision {@code target}. */
    void updateRejected(Revision target, InvalidChangeException reason) {
        lastFailure.set("update to " + target + " rejected: " + reason.getMessage());
        if (phases.isConnected()) {
            connection.reject(applied, target, reason);
        }
    }

    /** Reports that the subscription has failed or was ended by the server. */
    void subscriptionEnded(String reason) {
        lastFailure.set(reason);
    }

    /** Returns one line about the last failure; empty if there is none. */
    String lastFailure() {
        return lastFailure.line();
    }
}
