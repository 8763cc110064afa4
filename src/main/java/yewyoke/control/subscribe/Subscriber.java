package yewyoke.control.subscribe;

import java.util.random.RandomGenerator;
import yewyoke.control.model.Acknowledgement;
import yewyoke.control.model.Digest;
import yewyoke.control.model.InvalidChangeException;
import yewyoke.control.model.ResourceCodec;
import yewyoke.control.model.ResourceState;
import yewyoke.control.model.Revision;
import yewyoke.control.model.SubscribeRequest;
import yewyoke.control.model.UpdatePart;

/**
 * Follows one of several control machines: collects the parts of an update, checks them, puts them in force
 * together and acknowledges that. The revision in force never goes back. Only {@link #run} works; the other
 * methods take note, and {@code run} is to be called after each of them and then as often as it asks for.
 *
 * <p>A refused update stays staged, bounded as any other: the publisher's next delta builds on it, and both are
 * checked and applied together, so a correction is in force without a new connection. If the connection is lost
 * first, the next one starts from what is in force. A connection that is lost while a complete update is checked
 * or applied doesn't end that work.
 *
 * <p>No slice stages, checks or applies more than {@link SubscriberSettings#sliceResources} resources; reading
 * one line costs as much as the line is long, and a single service with more resources than that is handed to
 * {@link UpdateConsumer#checkServices} at once. Memory at the peak of a snapshot is the old state, the new one
 * and the part that is staged: parts go straight into the new state. Lines that wait are bounded by {@link
 * LineBuffer}, and reading is paused early.
 */
public final class Subscriber {
    private static final int LONGEST_REASON = 300;

    private final SubscriberSettings settings;
    private final ServerConnection connection;
    private final PhaseMachine phases = new PhaseMachine();
    private final LineBuffer lines = new LineBuffer();
    private final HeldState held;
    private final UpdateProcess update;
    private boolean snapshotNeeded;
    private boolean running;
    private String lastRefusal = "";
    private long now;

    /**
     * A subscriber that is to be started.
     *
     * @param held what is in force already; empty for nothing. The subscriber changes it from now on
     * @param transport told of servers by their place, 0 to {@link SubscriberSettings#servers} exclusively
     */
    public Subscriber(SubscriberSettings settings, ResourceState held, UpdateConsumer consumer,
            SubscriptionTransport transport, RandomGenerator random) {
        this.settings = settings;
        this.connection = new ServerConnection(settings, transport, random);
        this.held = new HeldState(held, settings.scope());
        this.update = new UpdateProcess(settings, consumer, this.held);
        this.snapshotNeeded = !this.held.isWithinScope();
    }

    /** Opens the first subscription. */
    public void start(long nowNanos) {
        now = nowNanos;
        running = true;
        connect();
    }

    /** One line of the open subscription has come, without its line end; the array is the subscriber's. */
    public void line(long nowNanos, byte[] json) {
        now = nowNanos;
        if (!phases.isConnected()) {
            return;
        }
        heard();
        try {
            lines.add(json);
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
            refuse("server " + connection.server() + " ended the subscription: " + reason);
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

    /** Ends for good; an update that is being applied is applied to its end first, so that the state is whole. */
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

    /** What is in force; another object after a snapshot, and whole only when {@link #isApplying} is not. */
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
        return new SubscriberStatus(held.revision(), held.digest(), server, phases.phase(), lastRefusal,
                connection.millisSinceHeard(now));
    }

    private long nanosToNextRun() {
        return switch (phases.phase()) {
            case DISCONNECTED -> Math.max(0, connection.nanosToRetry(now));
            case CONNECTING -> Math.max(0, connection.nanosToSilence(now));
            case FOLLOWING -> hasWork() ? 0 : Math.max(0, connection.nanosToSilence(now));
            case CHECKING, APPLYING -> 0;
        };
    }

    private boolean hasWork() {
        return !lines.isEmpty() || update.isStaging();
    }

    private void connectIfDue() {
        if (connection.nanosToRetry(now) <= 0) {
            connect();
        }
    }

    private void connect() {
        Revision revision = snapshotNeeded ? Revision.NONE : held.revision();
        Digest digest = snapshotNeeded ? Digest.EMPTY : held.digest();
        phases.connect();
        connection.open(now, new SubscribeRequest(settings.name(), settings.zone(), settings.scope(), revision,
                digest));
    }

    private void heard() {
        connection.heard(now);
        if (phases.phase() == SubscriberPhase.CONNECTING) {
            phases.follow();
            acknowledgeInForce();
        }
    }

    private void checkSilence() {
        if (connection.nanosToSilence(now) <= 0) {
            giveUp(new SubscriptionException("server " + connection.server() + " was silent for "
                    + settings.silenceMillis() + " ms"));
        }
    }

    private void giveUp(SubscriptionException reason) {
        refuse(reason.getMessage());
        snapshotNeeded |= reason.needsSnapshot();
        connection.close();
        disconnected(0);
    }

    private void disconnected(long retryAfterMillis) {
        connection.retryLater(now, retryAfterMillis);
        lines.clear();
        if (!phases.isBusy()) {
            update.clear();
        }
        phases.disconnect();
    }

    private void refuse(String reason) {
        String line = reason.lines().findFirst().orElse("");
        lastRefusal = line.substring(0, Math.min(line.length(), LONGEST_REASON));
    }

    private void follow() {
        checkSilence();
        if (phases.phase() != SubscriberPhase.FOLLOWING) {
            return;
        }
        try {
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
        connection.pauseReading(phases.isBusy() || lines.isFull());
    }

    private void collectSlice() throws SubscriptionException, InvalidChangeException {
        byte[] line = update.isStaging() ? null : lines.poll();
        if (line != null) {
            update.begin(read(line), line.length);
        }
        if (!update.stage()) {
            return;
        }
        if (update.leadsToHeld() && !snapshotNeeded) {
            update.clear();
            completed();
        } else {
            update.beginCheck();
            phases.check();
        }
    }

    private static UpdatePart read(byte[] line) throws SubscriptionException {
        try {
            return ResourceCodec.readUpdatePart(line);
        } catch (InvalidChangeException e) {
            throw new SubscriptionException("a line that can't be read: " + e.getMessage());
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
        snapshotNeeded = false;
        lastRefusal = "";
        connection.resetBackoff();
        acknowledgeInForce();
    }

    private void acknowledgeInForce() {
        if (phases.isConnected() && !held.revision().equals(Revision.NONE)) {
            connection.acknowledge(Acknowledgement.inForce(settings.name(), held.revision(),
                    held.digest()));
        }
    }

    private void reject(InvalidChangeException reason) {
        refuse("update to " + update.target() + " refused: " + reason.getMessage());
        if (phases.isConnected()) {
            connection.acknowledge(Acknowledgement.rejected(settings.name(), held.revision(),
                    held.digest(), update.target(), reason));
        }
    }
}
