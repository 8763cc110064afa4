package loadbalancer.faults.control;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.publish.Admission;
import loadbalancer.control.publish.Publisher;
import loadbalancer.control.publish.Subscription;
import loadbalancer.faults.control.oracle.Violation.Rule;

/** The subscriptions of one life of a control machine, and what its publisher sends to them. */
final class PublisherEndpoint {
    /**
     * What one send may add to a limit besides a part: the entry that was too large for it, and
     * rounding.
     */
    private static final int TOLERANCE_BYTES = 1_000;

    private final SimulationContext context;
    private final String name;
    private final Publisher publisher;
    private final Map<VirtualSubscription, Subscription> subscriptions = new LinkedHashMap<>();
    private final SentBytes sentToAll = new SentBytes();
    private final SimulationCounters counters;

    PublisherEndpoint(
            SimulationContext context,
            String name,
            Publisher publisher,
            SimulationCounters counters) {
        this.context = context;
        this.name = name;
        this.publisher = publisher;
        this.counters = counters;
    }

    Publisher publisher() {
        return publisher;
    }

    void subscribe(VirtualSubscription call, SubscribeRequest request) {
        Admission admission = publisher.subscribe(context.now(), request, call);
        if (admission instanceof Admission.Admitted admitted) {
            subscriptions.put(call, admitted.subscription());
            context.trace()
                    .add(name, "admits " + request.subscriber() + " since " + request.revision());
            counters.admitted++;
            call.countBytes(new SubscriberBytes(request.subscriber()));
        } else if (admission instanceof Admission.Deferred deferred) {
            context.trace().add(name, "defers " + request.subscriber() + ": " + deferred.reason());
            counters.deferred++;
            call.defer(deferred.retryAfterMillis(), deferred.reason());
        }
    }

    void ended(VirtualSubscription call) {
        Subscription subscription = subscriptions.remove(call);
        if (subscription != null) {
            context.trace().add(name, "ends the subscription of " + subscription.subscriber());
            publisher.unsubscribe(subscription);
        }
    }

    void acknowledge(Acknowledgement acknowledgement) {
        publisher.acknowledge(context.now(), acknowledgement);
    }

    /** Checks the sum of what is sent, and what goes to one subscriber. */
    private final class SubscriberBytes implements ByteCounter {
        private final String subscriber;
        private final SentBytes sent = new SentBytes();

        SubscriberBytes(String subscriber) {
            this.subscriber = subscriber;
        }

        @Override
        public void add(long now, int bytes) {
            sent.add(now, bytes);
            sentToAll.add(now, bytes);
            counters.bytesSent += bytes;
            check(
                    subscriber,
                    sent,
                    context.settings().publisherLimits().subscriberBytesPerSecond());
            check("all", sentToAll, context.settings().publisherLimits().bytesPerSecond());
        }

        private void check(String to, SentBytes counted, long limit) {
            int partBytes = context.settings().publisherLimits().partBytes();
            if (counted.mostInOneSecond() > limit + partBytes + TOLERANCE_BYTES) {
                context.oracle()
                        .report(
                                Rule.RATE_EXCEEDED,
                                name
                                        + " sends "
                                        + counted.mostInOneSecond()
                                        + " bytes in a second to "
                                        + to
                                        + ", the limit is "
                                        + limit);
            }
        }
    }
}
