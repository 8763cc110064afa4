package loadbalancer.control.subscribe;

import java.util.random.RandomGenerator;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;

/**
 * Subscribes to one of several control servers: collects the parts of an update, checks them, puts
 * them in force together and acknowledges the update. The revision in force never decreases. Only
 * {@link #run} processes updates; the other methods record events, and {@code run} must be called
 * after each of them and again within the time that it returns. Not thread-safe; times are the
 * caller's monotonic clock in nanoseconds.
 *
 * <p>A rejected update stays staged, within the same bounds as any other update: the publisher's
 * next delta builds on it, and both are checked and applied together, so a correction takes effect
 * without a new connection. If the connection is lost before that, the next one starts from the
 * state in force. If the connection is lost while a complete update is checked or applied, that
 * work continues.
 *
 * <p>A slice stages, checks or applies at most {@link SubscriberSettings#sliceResources} resources,
 * with two exceptions: parsing a line takes time proportional to its length, and a single service
 * with more resources is passed to {@link UpdateConsumer#checkServices} at once. The peak memory of
 * a snapshot is the old state, the new state and one parsed part, because parts are put directly
 * into the new state. Buffered lines are bounded by {@link LineBuffer}, which pauses reading well
 * below its maximum.
 */
public final class Subscriber {
    private final ServerConnection connection;
    private final PhaseMachine phases = new PhaseMachine();
    private final AppliedState applied;
    private final UpdateProcess update;
    private final SubscriberReports reports;
    private boolean isRunning;
    private long nowNanos;

    /**
     * Creates a subscriber, which does nothing until {@link #start} is called.
     *
     * @param restored the state in force before a restart; empty if there is none. The subscriber
     *     takes ownership and changes it
     * @param transport the connections to the servers, which have the indexes from 0 to {@link
     *     SubscriberSettings#servers} exclusive
     * @param random the source of the order of servers and of the jitter of retries
     */
    public Subscriber(
            SubscriberSettings settings,
            ResourceState restored,
            UpdateConsumer consumer,
            SubscriptionTransport transport,
            RandomGenerator random) {
        this.connection = new ServerConnection(settings, transport, random);
        this.applied = new AppliedState(restored, settings.scope());
        this.update = new UpdateProcess(settings, consumer, applied);
        this.reports = new SubscriberReports(connection, phases, applied);
    }

    /** Opens the first subscription. */
    public void start(long currentNanos) {
        nowNanos = currentNanos;
        isRunning = true;
        connect();
    }

    /**
     * Processes the receipt of a line of the open subscription, given without its line terminator.
     * The subscriber takes ownership of the array.
     */
    public void lineReceived(long currentNanos, byte[] json) {
        nowNanos = currentNanos;
        if (!phases.isConnected()) {
            return;
        }
        received();
        try {
            update.add(json);
            pauseIfBehind();
        } catch (SubscriptionException e) {
            fail(e);
        }
    }

    /** Processes the receipt of a heartbeat, which is an empty line of the open subscription. */
    public void heartbeatReceived(long currentNanos) {
        nowNanos = currentNanos;
        if (phases.isConnected()) {
            received();
        }
    }

    /**
     * Processes the end of the open subscription, or its deferral by the server.
     *
     * @param retryAfterMillis the minimum delay that the server requested; 0 for none
     * @param reason the reason to show in the status
     */
    public void subscriptionEnded(long currentNanos, long retryAfterMillis, String reason) {
        nowNanos = currentNanos;
        if (phases.isConnected()) {
            reports.subscriptionEnded(
                    "server " + connection.server() + " ended the subscription: " + reason);
            disconnected(retryAfterMillis);
        }
    }

    /**
     * Processes one slice of work, the retry and the silence timeout.
     *
     * @return the nanoseconds after which it must be called again at the latest; 0 for immediately
     */
    public long run(long currentNanos) {
        nowNanos = currentNanos;
        if (!isRunning) {
            return Long.MAX_VALUE;
        }
        runPhase();
        return nanosToNextRun();
    }

    private void runPhase() {
        switch (phases.phase()) {
            case DISCONNECTED -> connectIfDue();
            case CONNECTING -> checkSilence();
            case FOLLOWING -> follow();
            case CHECKING -> checkSlice();
            case APPLYING -> applySlice();
            default -> throw new IllegalStateException("unknown phase " + phases.phase());
        }
    }

    /**
     * Ends the subscription permanently. An update that is being applied is completed first, so
     * that the state is consistent.
     */
    public void stop() {
        isRunning = false;
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
     * Returns the state in force. It is a different object after a snapshot, and it is inconsistent
     * while {@link #isApplying}.
     */
    public ResourceState state() {
        return applied.state();
    }

    /** Returns whether an update is partly applied, so that the state must not be read. */
    public boolean isApplying() {
        return phases.phase() == SubscriberPhase.APPLYING;
    }

    /** Returns the status as of the last call of any other method. */
    public SubscriberStatus status() {
        int server = phases.isConnected() ? connection.server() : SubscriberStatus.NO_SERVER;
        return new SubscriberStatus(
                applied.revision(),
                applied.digest(),
                server,
                phases.phase(),
                reports.lastFailure(),
                connection.millisSinceReceived(nowNanos));
    }

    private long nanosToNextRun() {
        return switch (phases.phase()) {
            case DISCONNECTED -> Math.max(0, connection.nanosToRetry(nowNanos));
            case CONNECTING -> Math.max(0, connection.nanosToSilenceTimeout(nowNanos));
            case FOLLOWING ->
                    update.hasWork() ? 0 : Math.max(0, connection.nanosToSilenceTimeout(nowNanos));
            case CHECKING, APPLYING -> 0;
        };
    }

    private void connectIfDue() {
        if (connection.nanosToRetry(nowNanos) <= 0) {
            connect();
        }
    }

    private void connect() {
        phases.connect();
        connection.open(nowNanos, applied);
    }

    private void received() {
        connection.received(nowNanos);
        if (phases.phase() == SubscriberPhase.CONNECTING) {
            phases.follow();
            reports.acknowledge();
        }
    }

    private void checkSilence() {
        try {
            connection.checkSilence(nowNanos);
        } catch (SubscriptionException e) {
            fail(e);
        }
    }

    private void fail(SubscriptionException reason) {
        reports.subscriptionEnded(reason.getMessage());
        if (reason instanceof SnapshotRequiredException) {
            applied.requireSnapshot();
        }
        connection.close();
        disconnected(0);
    }

    private void disconnected(long retryAfterMillis) {
        connection.scheduleRetry(nowNanos, retryAfterMillis);
        update.clearLines();
        phases.disconnect();
        if (!phases.isBusy()) {
            update.clear();
        }
    }

    private void follow() {
        try {
            connection.checkSilence(nowNanos);
            collectSlice();
            pauseIfBehind();
        } catch (SubscriptionException e) {
            fail(e);
        } catch (InvalidChangeException e) {
            reports.updateRejected(update.target(), e);
            fail(new SubscriptionException(e.getMessage()));
        }
    }

    private void pauseIfBehind() {
        connection.pauseReading(phases.isBusy() || update.hasManyLines());
    }

    private void collectSlice() throws SubscriptionException, InvalidChangeException {
        if (!update.collect()) {
            return;
        }
        if (update.isAlreadyApplied()) {
            update.clear();
            reports.updateCompleted();
        } else {
            update.beginCheck();
            phases.startCheck();
        }
    }

    private void checkSlice() {
        try {
            if (update.check()) {
                phases.startApply();
            }
        } catch (InvalidChangeException e) {
            reports.updateRejected(update.target(), e);
            update.retainRejected();
            finish();
        }
    }

    private void applySlice() {
        if (update.apply()) {
            finish();
            reports.updateCompleted();
        }
    }

    private void finish() {
        phases.finish();
        if (phases.isConnected()) {
            connection.restartSilenceTimeout(nowNanos);
            pauseIfBehind();
        } else {
            update.clear();
        }
    }
}
