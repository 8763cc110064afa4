package loadbalancer.control.publish;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.StateDifference;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.model.VersionedResource;

/** A publisher with its state, run in virtual time. */
final class PublisherFixture {
    static final PublisherLimits LIMITS =
            new PublisherLimits(1_000, 1_000, 1 << 20, 1 << 20, 1_000, 2_000, 50);

    final ResourceState state = new ResourceState();
    final Publisher publisher;
    Revision revision = new Revision(1, 0);
    long now = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(1);

    /** The last result of {@link Publisher#run}, in nanoseconds. */
    long pause;

    PublisherFixture(PublisherLimits limits) {
        state.advance(revision);
        publisher = new Publisher(state, limits, new Random(1));
    }

    static Tenant tenant(String service, int name, double allowance) {
        return new Tenant(service, "t" + name, allowance, 0);
    }

    /** Makes one change that puts {@code count} tenants of a service. */
    void putTenants(String service, int count, double allowance) {
        List<Resource> put = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            put.add(tenant(service, i, allowance));
        }
        change(put, List.of());
    }

    void delete(String service, int name) {
        change(List.of(), List.of(tenant(service, name, 0).id()));
    }

    void change(List<Resource> put, List<ResourceId> delete) {
        revision = revision.next();
        state.apply(revision, new Change("c", put, delete));
        List<VersionedResource> versioned =
                put.stream().map(resource -> new VersionedResource(revision, resource)).toList();
        publisher.stateChanged(revision, versioned, delete);
    }

    /** Replaces the state by a changed copy of it, as a follower does after a snapshot. */
    void replaceState(Consumer<ResourceState> change) {
        ResourceState next = new ResourceState();
        state.resources().forEach(next::put);
        next.advance(state.revision());
        change.accept(next);
        StateDifference difference = StateDifference.between(state, next);
        difference.applyTo(state);
        state.advance(next.revision());
        publisher.stateReplaced(difference);
    }

    ModelSubscriber subscriber(String name, String... services) {
        return new ModelSubscriber(name, services.length == 0 ? Scope.ALL : Scope.of(services));
    }

    Admission subscribe(ModelSubscriber subscriber) {
        return publisher.subscribe(now, subscriber.request(), subscriber);
    }

    /** Subscribes again after ending an earlier connection; fails unless admitted. */
    void admit(ModelSubscriber subscriber) {
        disconnect(subscriber);
        subscriber.subscription = ((Admission.Admitted) subscribe(subscriber)).subscription();
    }

    void disconnect(ModelSubscriber subscriber) {
        if (subscriber.subscription != null) {
            publisher.unsubscribe(subscriber.subscription);
            subscriber.subscription = null;
        }
    }

    /** Advances the time, and runs the publisher whenever it is due. */
    void run(long millis) {
        long end = now + TimeUnit.MILLISECONDS.toNanos(millis);
        pause = publisher.run(now);
        while (pause <= end - now) {
            now += pause;
            pause = publisher.run(now);
        }
        now = end;
    }
}
