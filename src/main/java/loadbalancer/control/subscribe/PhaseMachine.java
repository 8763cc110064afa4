package loadbalancer.control.subscribe;

import java.util.EnumSet;

/**
 * The state machine of a subscriber's phases. If the connection is lost while a complete update is
 * checked or applied, that work continues, and {@link #finish} leads to {@link
 * SubscriberPhase#DISCONNECTED}. Not thread-safe.
 */
final class PhaseMachine {
    private static final EnumSet<SubscriberPhase> BUSY =
            EnumSet.of(SubscriberPhase.CHECKING, SubscriberPhase.APPLYING);

    private SubscriberPhase phase = SubscriberPhase.DISCONNECTED;
    private boolean isConnected;

    SubscriberPhase phase() {
        return phase;
    }

    /** Returns whether a subscription is open. */
    boolean isConnected() {
        return isConnected;
    }

    /** Returns whether a complete update is being checked or applied. */
    boolean isBusy() {
        return BUSY.contains(phase);
    }

    /** Records that a subscription is opened. */
    void connect() {
        transition(SubscriberPhase.DISCONNECTED, SubscriberPhase.CONNECTING);
        isConnected = true;
    }

    /** Records that the first line or heartbeat was received. */
    void follow() {
        transition(SubscriberPhase.CONNECTING, SubscriberPhase.FOLLOWING);
    }

    /** Records that an update is complete and its check starts. */
    void startCheck() {
        transition(SubscriberPhase.FOLLOWING, SubscriberPhase.CHECKING);
    }

    /** Records that the update is accepted and is now applied. */
    void startApply() {
        transition(SubscriberPhase.CHECKING, SubscriberPhase.APPLYING);
    }

    /** Records that the update is rejected or in force. */
    void finish() {
        if (!isBusy()) {
            throw new IllegalStateException("no update to finish in phase " + phase);
        }
        phase = isConnected ? SubscriberPhase.FOLLOWING : SubscriberPhase.DISCONNECTED;
    }

    /** Records that the subscription has ended; work on a complete update continues. */
    void disconnect() {
        isConnected = false;
        if (!isBusy()) {
            phase = SubscriberPhase.DISCONNECTED;
        }
    }

    private void transition(SubscriberPhase from, SubscriberPhase to) {
        if (phase != from) {
            throw new IllegalStateException("invalid transition from phase " + phase + " to " + to);
        }
        phase = to;
    }
}
