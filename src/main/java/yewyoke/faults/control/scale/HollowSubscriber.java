package yewyoke.faults.control.scale;

import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import yewyoke.control.model.InvalidChangeException;
import yewyoke.control.model.ResourceState;
import yewyoke.control.model.Revision;
import yewyoke.control.model.VersionedResource;
import yewyoke.control.subscribe.AppliedUpdate;
import yewyoke.control.subscribe.ResourceView;
import yewyoke.control.subscribe.Subscriber;
import yewyoke.control.subscribe.SubscriberSettings;
import yewyoke.control.subscribe.UpdateConsumer;
import yewyoke.faults.process.peer.RealTime;
import yewyoke.http1.control.ControlClient;
import yewyoke.http1.control.SubscriptionEvents;
import yewyoke.transport.Transport;

/** A balancer's subscriber with its connections and without a request path. Lives on one loop. */
final class HollowSubscriber implements SubscriptionEvents, UpdateConsumer {
    private final Transport transport;
    private final ByteMeter meter = new ByteMeter();
    private final RevisionTimes times;
    private final SubscriberSettings settings;
    private final Subscriber subscriber;
    private ScheduledFuture<?> timer;
    private Revision highest = Revision.NONE;
    private int updates;
    private int snapshots;
    private int wentBack;
    private long longestSliceMicros;

    HollowSubscriber(Transport shared, SubscriberSettings settings, List<InetSocketAddress> servers,
            RevisionTimes times) {
        this.transport = new CountingTransport(shared, meter);
        this.times = times;
        this.settings = settings;
        ControlClient client = new ControlClient(transport, servers);
        this.subscriber = new Subscriber(settings, new ResourceState(), this, client, transport.random());
        client.listen(this);
    }

    /** Opens the first subscription; on the loop. */
    void start() {
        subscriber.start(transport.nanoTime());
        run();
    }

    private void run() {
        long before = RealTime.micros();
        long delay = subscriber.run(transport.nanoTime());
        longestSliceMicros = Math.max(longestSliceMicros, RealTime.micros() - before);
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
        if (delay != Long.MAX_VALUE) {
            timer = transport.loop().schedule(this::run, delay, TimeUnit.NANOSECONDS);
        }
    }

    @Override public void line(byte[] line) {
        subscriber.line(transport.nanoTime(), line);
        run();
    }

    @Override public void heartbeat() {
        subscriber.heartbeat(transport.nanoTime());
        run();
    }

    @Override public void ended(long retryAfterMillis, String reason) {
        subscriber.ended(transport.nanoTime(), retryAfterMillis, reason);
        run();
    }

    @Override public void check(VersionedResource resource) throws InvalidChangeException {
        resource.resource().validate();
    }

    @Override public void checkServices(ResourceView after, Set<String> services) { }

    @Override public void inForce(AppliedUpdate update, ResourceState state) {
        updates++;
        snapshots += update.snapshot() ? 1 : 0;
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
        longestSliceMicros = 0;
    }

    /** What it is like now; on the loop. */
    HollowReport.SubscriberReport report() {
        boolean applying = subscriber.isApplying();
        Revision revision = subscriber.status().inForce();
        return new HollowReport.SubscriberReport(settings.name(), revision.toString(),
                subscriber.status().digest().toString(), List.copyOf(settings.scope().services()),
                applying ? 0 : subscriber.state().size(), updates, snapshots, wentBack, meter.total(),
                meter.worstTenSeconds(), longestSliceMicros);
    }
}
