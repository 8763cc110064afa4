package yewyoke.http1.control;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import yewyoke.control.subscribe.Subscriber;
import yewyoke.transport.Transport;

/**
 * Runs a subscriber on a loop: tells it what its connection says, and runs it when it wants to be run. Always
 * by timer, also when that is at once: the loop looks for I/O between two timers, but not between two tasks.
 */
public final class SubscriberRunner implements SubscriptionEvents {
    private static final long LONGEST_DELAY_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final Transport transport;
    private final ControlClient client;
    private final Subscriber subscriber;
    private ScheduledFuture<?> timer;
    private boolean stopped;

    /** Runs it on the transport's loop and by its clock; the subscriber was made with that client. */
    public SubscriberRunner(Transport transport, ControlClient client, Subscriber subscriber) {
        this.transport = transport;
        this.client = client;
        this.subscriber = subscriber;
    }

    /** Begins to subscribe, on the loop. */
    public void start() {
        client.listen(this);
        subscriber.start(transport.nanoTime());
        runAfter(0);
    }

    /** Subscribes no more and ends all connections, on the loop. */
    public void stop() {
        stopped = true;
        stopTimer();
        subscriber.stop();
        client.shutDown();
    }

    @Override public void line(byte[] line) {
        subscriber.line(transport.nanoTime(), line);
        runAfter(0);
    }

    @Override public void heartbeat() {
        subscriber.heartbeat(transport.nanoTime());
        runAfter(0);
    }

    @Override public void ended(long retryAfterMillis, String reason) {
        subscriber.ended(transport.nanoTime(), retryAfterMillis, reason);
        runAfter(0);
    }

    private void run() {
        timer = null;
        runAfter(subscriber.run(transport.nanoTime()));
    }

    private void runAfter(long nanos) {
        stopTimer();
        if (!stopped) {
            timer = transport.loop().schedule(this::run, Math.min(nanos, LONGEST_DELAY_NANOS),
                    TimeUnit.NANOSECONDS);
        }
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
