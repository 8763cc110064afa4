package loadbalancer.control.subscribe;

import java.util.random.RandomGenerator;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;

/**
 * Follows one of several control machines: collects the parts of an update, checks them, puts them
 * in force together and acknowledges that. The revision in force never goes back. Only {@link #run}
 * works; the other methods take note, and {@code run} is to be called after each of them and then
 * as often as it asks for.
 *
 * <p>A refused update stays staged, bounded as any other: the publisher's next delta builds on it,
 * and both are checked and applied together, so a correction is in force without a new connection.
 * If the connection is lost first, the next one starts from what is in force. A connection that is
 * lost while a complete update is checked or applied doesn't end that work.
 *
 * <p>No slice stages, checks or applies more than {@link SubscriberSettings#sliceResources}
 * resources; reading a line costs as much as the line is long, and a single service with more
 * resources than that is handed to {@link UpdateConsumer#checkServices} at once. Memory at the peak
 * of a snapshot is the old state, the new one and the part that is staged: parts go straight into
 * the new state. Lines that wait are bounded by {@link LineBuffer}, and reading is paused early.
 */
public final class Subscriber {
    private final ServerConnection connection;
    private final PhaseMachine phases = new PhaseMachine();
    private final HeldState held;
    private final UpdateProcess update;
    private final LastRefusal lastRefusal = new LastRefusal();
    private boolean running;
    private long now;

    /**
     * A subscriber that is to be started.
     *
     * @param held what is in force already; empty for nothing. The subscriber changes it from now
     *     on
     * @param transport told of servers by their place, 0 to {@link SubscriberSettings#servers}
     *     exclusively
     */
    public Subscriber(
            SubscriberSettings settings,
            ResourceState held,
            UpdateConsumer consumer,
            SubscriptionTransport transport,
            RandomGenerator random) {
        this.connection = new ServerConnection(settings, transport, random);
        this.held = new HeldState(held, settings.scope());
        this.update = new UpdateProcess(settings, consumer, this.held);
    }

    /** Opens the first subscription. */
    public void start(long nowNanos) {
        now = nowNanos;
        running = true;
        connect();
    }

    /**
     * One line of the open subscription has come, without its line end; the array is the
     * subscriber's.
     */
    public void line(long nowNanos, byte[] json) {
        now = nowNanos;
        if (!phases.isConnected()) {
            return;
        }
        heard();
        try {
            update.add(json);
            pauseIfBehind();
        } catch (SubscriptionException e) {
            giveUp(e);
        }
    }

    /** The open subscription has sent its empty line. */
    public void heartbeat(long nowNanos) {
        now = nowNanos;
        if (phases.isConnected()) {
            heard();
        }
    }

    /**
     * The open subscription has ended, or the server has deferred it.
     *
     * @param retryAfterMillis the least delay that the server has asked for; 0 for none
     * @param reason for the status
     */
    public void ended(long nowNanos, long retryAfterMillis, String reason) {
        now = nowNanos;
        if (phases.isConnected()) {
            lastRefusal.set("server " + connection.server() + " ended the subscription: " + reason);
            disconnected(retryAfterMillis);
        }
    }

    /**
     * Does one slice of work and what is due.
     *
     * @return nanoseconds after which it is to be called again at the latest; 0 for at once
     */
    public long run(long nowNanos) {
        now = nowNanos;
        if (!running) {
            return Long.MAX_VALUE;
        }
        switch (phases.phase()) {
            case DISCONNECTED -> connectIfDue();
            case CONNECTING -> checkSilence();
            case FOLLOWING -> follow();
            case CHECKING -> checkSlice();
            case APPLYING -> applySlice();
            default -> throw new IllegalStateException("unknown phase " + phases.phase());
        }
        return nanosToNextRun();
    }

    /**
     * Ends for good; an update that is being applied is applied to its end, so that the state is
     * whole.
     */
    public void stop() {
        running = false;
        connection.close();
        phases.disconnect();
        while (isApplying()) {
            applySlice();
        }
        if (phases.isBusy()) {
            finish();
        }
    }

    /**
     * What is in force; another object after a snapshot, and whole only when {@link #isApplying} is
     * not.
     */
    public ResourceState state() {
        return held.state();
    }

    /** Whether the state is being changed, and nobody may read it. */
    public boolean isApplying() {
        return phases.phase() == SubscriberPhase.APPLYING;
    }

    /** What the subscriber does, as of the last call. */
    public SubscriberStatus status() {
        int server = phases.isConnected() ? connection.server() : SubscriberStatus.NO_SERVER;
        return new SubscriberStatus(
                held.revision(),
                held.digest(),
                server,
                phases.phase(),
                lastRefusal.line(),
                connection.millisSinceHeard(now));
    }

    private long nanosToNextRun() {
        return switch (phases.phase()) {
            case DISCONNECTED -> Math.max(0, connection.nanosToRetry(now));
            case CONNECTING -> Math.max(0, connection.nanosToSilence(now));
            case FOLLOWING -> update.hasWork() ? 0 : Math.max(0, connection.nanosToSilence(now));
            case CHECKING, APPLYING -> 0;
        };
    }

    private void connectIfDue() {
        if (connection.nanosToRetry(now) <= 0) {
            connect();
        }
    }

    private void connect() {
        phases.connect();
        connection.open(now, held);
    }

    private void heard() {
        connection.heard(now);
        if (phases.phase() == SubscriberPhase.CONNECTING) {
            phases.follow();
            acknowledgeInForce();
        }
    }

    private void checkSilence() {
        try {
            connection.checkSilence(now);
        } catch (SubscriptionException e) {
            giveUp(e);
        }
    }

    private void giveUp(SubscriptionException reason) {
        lastRefusal.set(reason.getMessage());
        if (reason.needsSnapshot()) {
            held.requireSnapshot();
        }
        connection.close();
        disconnected(0);
    }

    private void disconnected(long retryAfterMillis) {
        connection.retryLater(now, retryAfterMillis);
        update.clearLines();
        phases.disconnect();
        if (!phases.isBusy()) {
            update.clear();
        }
    }

    private void follow() {
        try {
            connection.checkSilence(now);
            collectSlice();
            pauseIfBehind();
        } catch (SubscriptionException e) {
            giveUp(e);
        } catch (InvalidChangeException e) {
            reject(e);
            giveUp(new SubscriptionException(e.getMessage()));
        }
    }

    private void pauseIfBehind() {
        connection.pauseReading(phases.isBusy() || update.hasManyLines());
    }

    private void collectSlice() throws SubscriptionException, InvalidChangeException {
        if (!update.collect()) {
            return;
        }
        if (update.leadsToHeld()) {
            update.clear();
            completed();
        } else {
            update.beginCheck();
            phases.check();
        }
    }

    private void checkSlice() {
        try {
            if (update.check()) {
                phases.apply();
            }
        } catch (InvalidChangeException e) {
            reject(e);
            update.keepRefused();
            finish();
        }
    }

    private void applySlice() {
        if (update.apply()) {
            finish();
            completed();
        }
    }

    private void finish() {
        phases.finish();
        if (phases.isConnected()) {
            connection.restartSilence(now);
            pauseIfBehind();
        } else {
            update.clear();
        }
    }

    private void completed() {
        lastRefusal.clear();
        connection.resetBackoff();
        acknowledgeInForce();
    }

    private void acknowledgeInForce() {
        if (phases.isConnected()) {
            connection.acknowledge(held);
        }
    }

    private void reject(InvalidChangeException reason) {
        lastRefusal.set("update to " + update.target() + " refused: " + reason.getMessage());
        if (phases.isConnected()) {
            connection.reject(held, update.target(), reason);
        }
    }
}
