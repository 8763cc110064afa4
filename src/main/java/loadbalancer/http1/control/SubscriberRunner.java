package loadbalancer.http1.control;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.transport.Transport;

/**
 * Runs a subscriber on the transport's loop and by its clock: passes on the events of its
 * connection, and runs it when it asks to be run. Always by timer, even without delay: the loop
 * polls for I/O between two timers, but not between two tasks. For the loop's thread.
 */
public final class SubscriberRunner implements SubscriptionEvents {
    /** Longest time between two runs. */
    private static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** After a defect in a slice, which would only fail again at once. */
    private static final long FAILURE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final System.Logger LOG = System.getLogger(SubscriberRunner.class.getName());

    private final Transport transport;
    private final Subscriber subscriber;
    private ScheduledFuture<?> timer;
    private boolean isDueAtOnce;
    private boolean isRunning;

    /** Runs it once started. */
    public SubscriberRunner(Transport transport, Subscriber subscriber) {
        this.transport = transport;
        this.subscriber = subscriber;
    }

    /** Opens the subscription. */
    public void start() {
        isRunning = true;
        subscriber.start(transport.nanoTime());
        runAtOnce();
    }

    /** Ends the subscription for good. */
    public void stop() {
        isRunning = false;
        subscriber.stop();
        stopTimer();
    }

    @Override
    public void line(byte[] line) {
        subscriber.line(transport.nanoTime(), line);
        runAtOnce();
    }

    @Override
    public void heartbeat() {
        subscriber.heartbeat(transport.nanoTime());
        runAtOnce();
    }

    @Override
    public void ended(long retryAfterMillis, String reason) {
        subscriber.ended(transport.nanoTime(), retryAfterMillis, reason);
        runAtOnce();
    }

    private void runAtOnce() {
        if (isRunning && !isDueAtOnce) {
            schedule(0);
        }
    }

    private void schedule(long delayNanos) {
        stopTimer();
        isDueAtOnce = delayNanos == 0;
        timer = transport.loop().schedule(this::runSlice, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void runSlice() {
        timer = null;
        isDueAtOnce = false;
        long delayNanos = FAILURE_PAUSE_NANOS;
        try {
            delayNanos = Math.min(subscriber.run(transport.nanoTime()), MAX_DELAY_NANOS);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a slice of the subscriber's work failed", e);
        }
        if (isRunning) {
            schedule(Math.max(0, delayNanos));
        }
    }
}
