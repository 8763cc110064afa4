package loadbalancer.http1.control;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.transport.Transport;

/**
 * Runs a subscriber on the event loop with the transport's clock: passes the events of its
 * connection to it and runs it at the times that it asks for. Runs are always scheduled as timers,
 * even without a delay, since the event loop polls for I/O between two timers but not between two
 * tasks. Used on the event loop only.
 */
public final class SubscriberRunner implements SubscriptionEvents {
    /** Maximum time between two runs. */
    private static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Delay after a run failed with an exception; an immediate run would fail again. */
    private static final long FAILURE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final System.Logger LOG = System.getLogger(SubscriberRunner.class.getName());

    private final Transport transport;
    private final Subscriber subscriber;
    private ScheduledFuture<?> timer;
    private boolean isDueImmediately;
    private boolean isRunning;

    /** Creates a runner; the subscriber runs after {@link #start}. */
    public SubscriberRunner(Transport transport, Subscriber subscriber) {
        this.transport = transport;
        this.subscriber = subscriber;
    }

    /** Starts the subscriber, which opens its subscription. */
    public void start() {
        isRunning = true;
        subscriber.start(transport.nanoTime());
        scheduleImmediately();
    }

    /** Stops the subscriber permanently, which ends its subscription. */
    public void stop() {
        isRunning = false;
        subscriber.stop();
        stopTimer();
    }

    @Override
    public void line(byte[] line) {
        subscriber.lineReceived(transport.nanoTime(), line);
        scheduleImmediately();
    }

    @Override
    public void heartbeat() {
        subscriber.heartbeatReceived(transport.nanoTime());
        scheduleImmediately();
    }

    @Override
    public void ended(long retryAfterMillis, String reason) {
        subscriber.subscriptionEnded(transport.nanoTime(), retryAfterMillis, reason);
        scheduleImmediately();
    }

    private void scheduleImmediately() {
        if (isRunning && !isDueImmediately) {
            schedule(0);
        }
    }

    private void schedule(long delayNanos) {
        stopTimer();
        isDueImmediately = delayNanos == 0;
        timer = transport.loop().schedule(this::runScheduled, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void runScheduled() {
        timer = null;
        isDueImmediately = false;
        long delayNanos = FAILURE_DELAY_NANOS;
        try {
            delayNanos = Math.min(subscriber.run(transport.nanoTime()), MAX_DELAY_NANOS);
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "a run of the control subscriber failed; retrying",
                    e);
        }
        if (isRunning) {
            schedule(Math.max(0, delayNanos));
        }
    }
}
