package loadbalancer.control.subscribe;

import java.util.random.RandomGenerator;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;

/**
 * Follows one of several control machines: collects the parts of an update, checks them, puts them
 * in force together and acknowledges that. The revision in force never goes back. Only {@link #run}
 * does the work; the other methods record events, and {@code run} is to be called after each of
 * them and then as often as it asks for. For one thread, by the caller's monotonic clock.
 *
 * <p>A rejected update stays staged, bounded as any other: the publisher's next delta builds on it,
 * and both are checked and applied together, so a correction is in force without a new connection.
 * If the connection is lost first, the next one starts from the state in force. A connection that
 * is lost while a complete update is checked or applied doesn't end that work.
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
    private final AppliedState applied;
    private final UpdateProcess update;
    private final SubscriberReports reports;
    private boolean isRunning;
    private long nowNanos;

    /**
     * A subscriber that is to be started.
     *
     * @param restored the state in force before a restart; empty for none. The subscriber changes
     *     it from now on
     * @param transport names servers by index, 0 to {@link SubscriberSettings#servers} exclusively
     * @param random for the order of servers and the jitter of retries
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
    public void start(long atNanos) {
        nowNanos = atNanos;
        isRunning = true;
        connect();
    }

    /**
     * A line of the open subscription was received, without its line end; the array is the
     * subscriber's from now on.
     */
    public void line(long atNanos, byte[] json) {
        nowNanos = atNanos;
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

    /** An empty line of the open subscription was received. */
    public void heartbeat(long atNanos) {
        nowNanos = atNanos;
        if (phases.isConnected()) {
            received();
        }
    }

    /**
     * The open subscription has ended, or the server has deferred it.
     *
     * @param retryAfterMillis the least delay that the server asked for; 0 for none
     * @param reason for the status
     */
    public void ended(long atNanos, long retryAfterMillis, String reason) {
        nowNanos = atNanos;
        if (phases.isConnected()) {
            reports.disconnected(
                    "server " + connection.server() + " ended the subscription: " + reason);
            disconnected(retryAfterMillis);
        }
    }

    /**
     * Does one slice of work and what is due.
     *
     * @return nanoseconds after which it is to be called again at the latest; 0 for at once
     */
    public long run(long atNanos) {
        nowNanos = atNanos;
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
     * Ends the subscription for good; an update that is being applied is completed, so that the
     * state is consistent.
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
     * The state in force; another object after a snapshot, and not consistent while {@link
     * #isApplying}.
     */
    public ResourceState state() {
        return applied.state();
    }

    /** Whether the state is being changed, and nobody may read it. */
    public boolean isApplying() {
        return phases.phase() == SubscriberPhase.APPLYING;
    }

    /** The status as of the last call. */
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
            case CONNECTING -> Math.max(0, connection.nanosToSilence(nowNanos));
            case FOLLOWING ->
                    update.hasWork() ? 0 : Math.max(0, connection.nanosToSilence(nowNanos));
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
        reports.disconnected(reason.getMessage());
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
            reports.rejected(update.target(), e);
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
            reports.completed();
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
            reports.rejected(update.target(), e);
            update.retainRejected();
            finish();
        }
    }

    private void applySlice() {
        if (update.apply()) {
            finish();
            reports.completed();
        }
    }

    private void finish() {
        phases.finish();
        if (phases.isConnected()) {
            connection.restartSilence(nowNanos);
            pauseIfBehind();
        } else {
            update.clear();
        }
    }
}
