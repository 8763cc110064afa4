package loadbalancer.http1.control;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.StateDifference;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.control.publish.Admission;
import loadbalancer.control.publish.DistributionStatus;
import loadbalancer.control.publish.Publisher;
import loadbalancer.control.publish.SubscriberSink;
import loadbalancer.control.publish.Subscription;
import loadbalancer.transport.Transport;

/**
 * Runs a publisher on the event loop with the transport's clock: at the time that the publisher
 * asks for, and in a separate task after each event. Used on the event loop only.
 */
public final class PublisherRunner implements SubscriptionHandler {
    private static final long MAX_DELAY_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final Transport transport;
    private final Publisher publisher;
    private boolean isRunScheduled;
    private boolean isStopped;
    private ScheduledFuture<?> timer;

    /** Creates a runner; the publisher runs for the first time after the first event. */
    public PublisherRunner(Transport transport, Publisher publisher) {
        this.transport = transport;
        this.publisher = publisher;
    }

    /** Passes an update of the state to the publisher. */
    public void changed(Revision to, List<VersionedResource> put, List<ResourceId> deleted) {
        publisher.stateChanged(to, put, deleted);
        scheduleRun();
    }

    /** Passes the difference to the publisher after the whole state was replaced. */
    public void replaced(StateDifference difference) {
        publisher.stateReplaced(difference);
        scheduleRun();
    }

    /** Returns the status of the subscribers. */
    public DistributionStatus status() {
        return publisher.status();
    }

    /** Stops running the publisher. */
    public void stop() {
        isStopped = true;
        stopTimer();
    }

    @Override
    public Admission subscribe(SubscribeRequest request, SubscriberSink sink) {
        Admission admission = publisher.subscribe(transport.nanoTime(), request, sink);
        scheduleRun();
        return admission;
    }

    @Override
    public void unsubscribe(Subscription subscription) {
        publisher.unsubscribe(subscription);
    }

    @Override
    public void becameWritable() {
        scheduleRun();
    }

    @Override
    public void acknowledge(Acknowledgement acknowledgement) {
        publisher.acknowledge(transport.nanoTime(), acknowledgement);
        scheduleRun();
    }

    private void scheduleRun() {
        if (!isRunScheduled) {
            isRunScheduled = true;
            transport.loop().execute(this::run);
        }
    }

    private void run() {
        isRunScheduled = false;
        stopTimer();
        if (!isStopped) {
            long delay = Math.min(publisher.run(transport.nanoTime()), MAX_DELAY_NANOS);
            timer = transport.loop().schedule(this::run, delay, TimeUnit.NANOSECONDS);
        }
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
