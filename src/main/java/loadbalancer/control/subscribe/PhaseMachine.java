package loadbalancer.control.subscribe;

import java.util.EnumSet;

/**
 * The phases of a subscriber and the transitions between them. A connection that is lost while a
 * complete update is checked or applied doesn't end that work: {@link #finish} then leads to a new
 * attempt. For one thread.
 */
final class PhaseMachine {
    private static final EnumSet<SubscriberPhase> BUSY =
            EnumSet.of(SubscriberPhase.CHECKING, SubscriberPhase.APPLYING);

    private SubscriberPhase phase = SubscriberPhase.DISCONNECTED;
    private boolean isConnected;

    SubscriberPhase phase() {
        return phase;
    }

    /** Whether a subscription is open. */
    boolean isConnected() {
        return isConnected;
    }

    /** Whether a complete update is checked or applied. */
    boolean isBusy() {
        return BUSY.contains(phase);
    }

    /** A subscription is opened. */
    void connect() {
        move(SubscriberPhase.DISCONNECTED, SubscriberPhase.CONNECTING);
        isConnected = true;
    }

    /** The server has sent its first line or heartbeat. */
    void follow() {
        move(SubscriberPhase.CONNECTING, SubscriberPhase.FOLLOWING);
    }

    /** An update is complete. */
    void check() {
        move(SubscriberPhase.FOLLOWING, SubscriberPhase.CHECKING);
    }

    /** The update is accepted. */
    void apply() {
        move(SubscriberPhase.CHECKING, SubscriberPhase.APPLYING);
    }

    /** The update is rejected, or in force. */
    void finish() {
        if (!isBusy()) {
            throw new IllegalStateException("no update to finish while " + phase);
        }
        phase = isConnected ? SubscriberPhase.FOLLOWING : SubscriberPhase.DISCONNECTED;
    }

    /** The subscription has ended; work on a complete update goes on. */
    void disconnect() {
        isConnected = false;
        if (!isBusy()) {
            phase = SubscriberPhase.DISCONNECTED;
        }
    }

    private void move(SubscriberPhase from, SubscriberPhase to) {
        if (phase != from) {
            throw new IllegalStateException("can't go from " + phase + " to " + to);
        }
        phase = to;
    }
}
