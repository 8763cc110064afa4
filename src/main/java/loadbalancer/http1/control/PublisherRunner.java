package loadbalancer.http1.control;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.control.publish.Admission;
import loadbalancer.control.publish.DistributionStatus;
import loadbalancer.control.publish.Publisher;
import loadbalancer.control.publish.SubscriberSink;
import loadbalancer.control.publish.Subscription;
import loadbalancer.transport.Transport;

/**
 * Runs a publisher on a loop: at its own time, and soon after each event. Never from within an
 * event.
 */
public final class PublisherRunner implements SubscriptionHandler {
    private static final long LONGEST_DELAY_NANOS = TimeUnit.MINUTES.toNanos(1);

    private final Transport transport;
    private final Publisher publisher;
    private boolean runIsDue;
    private boolean stopped;
    private ScheduledFuture<?> timer;

    /** Runs it on the transport's loop and by its clock. */
    public PublisherRunner(Transport transport, Publisher publisher) {
        this.transport = transport;
        this.publisher = publisher;
    }

    /** The state has changed by one update. */
    public void changed(Revision to, List<VersionedResource> put, List<ResourceId> deleted) {
        publisher.changed(to, put, deleted);
        runSoon();
    }

    /** The state was replaced. */
    public void reset() {
        publisher.reset();
        runSoon();
    }

    /** Which revision is in force at how many subscribers. */
    public DistributionStatus status() {
        return publisher.status();
    }

    /** Runs the publisher no more. */
    public void stop() {
        stopped = true;
        stopTimer();
    }

    @Override
    public Admission subscribe(SubscribeRequest request, SubscriberSink sink) {
        Admission admission = publisher.subscribe(transport.nanoTime(), request, sink);
        runSoon();
        return admission;
    }

    @Override
    public void unsubscribe(Subscription subscription) {
        publisher.unsubscribe(subscription);
    }

    @Override
    public void becameWritable() {
        runSoon();
    }

    @Override
    public void acknowledge(Acknowledgement acknowledgement) {
        publisher.acknowledge(transport.nanoTime(), acknowledgement);
        runSoon();
    }

    private void runSoon() {
        if (!runIsDue) {
            runIsDue = true;
            transport.loop().execute(this::run);
        }
    }

    private void run() {
        runIsDue = false;
        stopTimer();
        if (!stopped) {
            long delay = Math.min(publisher.run(transport.nanoTime()), LONGEST_DELAY_NANOS);
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
