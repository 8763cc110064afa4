package loadbalancer.faults.control.scale;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.control.subscribe.AppliedUpdate;
import loadbalancer.control.subscribe.ResourceView;
import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.control.subscribe.SubscriberSettings;
import loadbalancer.control.subscribe.UpdateConsumer;
import loadbalancer.faults.process.peer.RealTime;
import loadbalancer.http1.control.ControlClient;
import loadbalancer.http1.control.SubscriberRunner;
import loadbalancer.transport.Transport;

/** A balancer's subscriber with its connections and without a request path. Lives on one loop. */
final class HollowSubscriber implements UpdateConsumer {
    private final ByteMeter meter = new ByteMeter();
    private final RevisionTimes times;
    private final SubscriberSettings settings;
    private final Subscriber subscriber;
    private final SubscriberRunner runner;
    private Revision highest = Revision.NONE;
    private int updates;
    private int snapshots;
    private int wentBack;

    HollowSubscriber(
            Transport shared,
            SubscriberSettings settings,
            List<InetSocketAddress> servers,
            RevisionTimes times) {
        Transport transport = new CountingTransport(shared, meter);
        this.times = times;
        this.settings = settings;
        ControlClient client = new ControlClient(transport, servers);
        this.subscriber =
                new Subscriber(settings, new ResourceState(), this, client, transport.random());
        this.runner = new SubscriberRunner(transport, subscriber);
        client.listen(runner);
    }

    /** Opens the first subscription; on the loop. */
    void start() {
        runner.start();
    }

    @Override
    public void check(VersionedResource resource) {}

    @Override
    public void checkServices(ResourceView after, Set<String> services) {}

    @Override
    public void updateApplied(AppliedUpdate update, ResourceState state) {
        updates++;
        snapshots += update.isSnapshot() ? 1 : 0;
        wentBack += highest.isAfter(state.revision()) ? 1 : 0;
        if (!update.from().equals(Revision.NONE)) {
            times.inForce(update.from().number(), state.revision().number(), RealTime.micros());
        }
        highest = state.revision();
    }

    /** Counts from nothing again; on the loop. */
    void reset() {
        meter.reset();
        updates = 0;
        snapshots = 0;
    }

    /** What it is like now; on the loop. */
    HollowReport.SubscriberReport report() {
        boolean applying = subscriber.isApplying();
        Revision revision = subscriber.status().inForce();
        return new HollowReport.SubscriberReport(
                settings.name(),
                revision.toString(),
                subscriber.status().digest().toString(),
                List.copyOf(settings.scope().services()),
                applying ? 0 : subscriber.state().size(),
                updates,
                snapshots,
                wentBack,
                meter.total(),
                meter.worstTenSeconds());
    }
}
