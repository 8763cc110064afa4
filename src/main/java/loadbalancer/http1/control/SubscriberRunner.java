package loadbalancer.http1.control;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.transport.Transport;

/**
 * Runs a subscriber on a loop: tells it what its connection says, and runs it when it wants to be
 * run. Always by timer, also when that is at once: the loop looks for I/O between two timers, but
 * not between two tasks.
 */
public final class SubscriberRunner implements SubscriptionEvents {
    /** A subscriber that wants nothing is looked at again this late at most. */
    private static final long LONGEST_DELAY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** After a defect in a slice; the slice would only fail again at once. */
    private static final long FAILURE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final System.Logger LOG = System.getLogger(SubscriberRunner.class.getName());

    private final Transport transport;
    private final Subscriber subscriber;
    private ScheduledFuture<?> timer;
    private boolean isDueAtOnce;
    private boolean running;

    /** Runs it on the transport's loop and by its clock. */
    public SubscriberRunner(Transport transport, Subscriber subscriber) {
        this.transport = transport;
        this.subscriber = subscriber;
    }

    /** Begins to subscribe, on the loop. */
    public void start() {
        running = true;
        subscriber.start(transport.nanoTime());
        runAtOnce();
    }

    /** Subscribes no more, on the loop. */
    public void stop() {
        running = false;
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
        if (running && !isDueAtOnce) {
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
        long wait = FAILURE_PAUSE_NANOS;
        try {
            wait = Math.min(subscriber.run(transport.nanoTime()), LONGEST_DELAY_NANOS);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a slice of the subscriber's work failed", e);
        }
        if (running) {
            schedule(Math.max(0, wait));
        }
    }
}
