package yewyoke.node.control;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import yewyoke.control.subscribe.Subscriber;
import yewyoke.http1.control.SubscriptionEvents;
import yewyoke.transport.Transport;

/**
 * Runs a subscriber on the event loop of a balancer: one slice of its work at a time, and between two slices
 * the loop looks at all its connections and timers.
 */
final class ControlSubscriptionRunner implements SubscriptionEvents {
    /** A subscriber that wants nothing is looked at again this late at most. */
    private static final long LONGEST_WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** After a defect in a slice; the slice would only fail again at once. */
    private static final long FAILURE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final System.Logger LOG = System.getLogger(ControlSubscriptionRunner.class.getName());

    private final Transport transport;
    private final Subscriber subscriber;
    private final SubscriptionObserver observer;
    private final ControlledList list;
    private State state = State.WAITING;
    private ScheduledFuture<?> next;
    private boolean nextIsAtOnce;

    /** {@link #lead} takes it from each to the next. */
    private enum State { WAITING, RUNNING, STOPPED }

    ControlSubscriptionRunner(Transport transport, Subscriber subscriber, SubscriptionObserver observer,
            ControlledList list) {
        this.transport = transport;
        this.subscriber = subscriber;
        this.observer = observer;
        this.list = list;
    }

    /** Subscribes from the first time that this process leads until the first time that it does no more. */
    void lead(boolean leads) {
        if (leads && state == State.WAITING) {
            state = State.RUNNING;
            subscriber.start(transport.nanoTime());
            runAtOnce();
        } else if (!leads && state == State.RUNNING) {
            state = State.STOPPED;
            subscriber.stop();
            cancelNext();
        }
    }

    @Override public void line(byte[] line) {
        heard();
        subscriber.line(transport.nanoTime(), line);
        runAtOnce();
    }

    @Override public void heartbeat() {
        heard();
        list.confirm();
        subscriber.heartbeat(transport.nanoTime());
        runAtOnce();
    }

    @Override public void ended(long retryAfterMillis, String reason) {
        observer.ended(reason);
        subscriber.ended(transport.nanoTime(), retryAfterMillis, reason);
        runAtOnce();
    }

    private void heard() {
        observer.heard();
        list.heard();
    }

    private void runAtOnce() {
        if (state == State.RUNNING && !nextIsAtOnce) {
            schedule(0);
        }
    }

    /** A scheduled task of the loop, also for at once: tasks that are only executed run before any I/O. */
    private void schedule(long delayNanos) {
        cancelNext();
        nextIsAtOnce = delayNanos == 0;
        next = transport.loop().schedule(this::runSlice, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void cancelNext() {
        if (next != null) {
            next.cancel(false);
        }
    }

    private void runSlice() {
        next = null;
        nextIsAtOnce = false;
        long wait = FAILURE_PAUSE_NANOS;
        try {
            wait = Math.min(subscriber.run(transport.nanoTime()), LONGEST_WAIT_NANOS);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a slice of the subscriber's work failed", e);
        }
        schedule(Math.max(0, wait));
    }
}
