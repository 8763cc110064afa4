package loadbalancer.control.subscribe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.Tenant;
import loadbalancer.control.model.UpdatePart;
import loadbalancer.control.model.VersionedResource;

/**
 * A subscriber with a recording transport and consumer. Compares the state with the model at each
 * acknowledgement.
 */
class SubscriberHarness implements SubscriptionTransport, UpdateConsumer {
    static final long SILENCE_MILLIS = 6_000;
    static final long FIRST_RETRY_MILLIS = 100;
    static final long MAX_RETRY_MILLIS = 5_000;
    static final int SLICE = 4;

    /** The name of a tenant that the consumer rejects. */
    static final String REJECTED = "rejected";

    /** The name of a tenant for which the consumer rejects the service. */
    static final String REJECTED_WITH_ITS_SERVICE = "rejected-with-its-service";

    /** The name of a tenant whose check fails with an unexpected exception. */
    static final String DEFECT = "defect";

    final ModelPublisher publisher;
    final List<SubscribeRequest> requests = new ArrayList<>();
    final List<Integer> servers = new ArrayList<>();
    final List<Acknowledgement> acknowledgements = new ArrayList<>();
    final List<AppliedUpdate> applied = new ArrayList<>();
    final Subscriber subscriber;
    boolean open;
    boolean paused;
    int checkedInSlice;
    long now;

    SubscriberHarness(ModelPublisher publisher, Scope scope, ResourceState applied, long seed) {
        this.publisher = publisher;
        SubscriberSettings settings =
                new SubscriberSettings(
                        "lb-1",
                        "a",
                        scope,
                        4,
                        SLICE,
                        SILENCE_MILLIS,
                        FIRST_RETRY_MILLIS,
                        MAX_RETRY_MILLIS);
        subscriber = new Subscriber(settings, applied, this, this, new Random(seed));
    }

    /** Returns a subscriber of all services without state that has received a heartbeat. */
    static SubscriberHarness started(ModelPublisher publisher) {
        SubscriberHarness harness =
                new SubscriberHarness(publisher, Scope.ALL, new ResourceState(), 1);
        harness.subscriber.start(0);
        harness.subscriber.heartbeatReceived(0);
        return harness;
    }

    static Resource tenant(String service, String name, double rate) {
        return new Tenant(service, name, rate, 0);
    }

    @Override
    public void open(int server, SubscribeRequest request) {
        open = true;
        paused = false;
        servers.add(server);
        requests.add(request);
    }

    @Override
    public void pauseReading(boolean pause) {
        paused = pause;
    }

    @Override
    public void close() {
        open = false;
    }

    @Override
    public void acknowledge(int server, Acknowledgement acknowledgement) {
        assertEquals(servers.get(servers.size() - 1), server);
        assertEquals(inForce(), acknowledgement.inForce(), "acknowledged a revision not in force");
        assertEquals(subscriber.status().digest(), acknowledgement.digest());
        assertStateMatchesModel();
        acknowledgements.add(acknowledgement);
    }

    @Override
    public void check(VersionedResource resource) throws InvalidChangeException {
        checkedInSlice++;
        if (resource.id().name().equals(REJECTED)) {
            throw new InvalidChangeException(resource.id().toString(), "tenant rejected");
        }
        if (resource.id().name().equals(DEFECT)) {
            throw new IllegalStateException("a defect");
        }
    }

    @Override
    public void checkServices(ResourceView after, Set<String> services)
            throws InvalidChangeException {
        int resources = 0;
        for (String service : services) {
            resources += (int) after.resourcesOf(service).count();
            if (after.resourcesOf(service)
                    .anyMatch(r -> r.id().name().equals(REJECTED_WITH_ITS_SERVICE))) {
                throw new InvalidChangeException(service, "service rejected");
            }
        }
        boolean isOnlyServiceOfSlice = services.size() == 1 && checkedInSlice == 0;
        checkedInSlice += isOnlyServiceOfSlice ? Math.min(resources, SLICE) : resources;
    }

    @Override
    public void updateApplied(AppliedUpdate update, ResourceState state) {
        assertTrue(update.to().compareTo(update.from()) >= 0, "the revision decreased");
        assertEquals(update.to(), state.revision());
        applied.add(update);
        assertStateMatchesModel();
    }

    void assertStateMatchesModel() {
        ResourceState state = subscriber.state();
        Map<ResourceId, VersionedResource> applied = new HashMap<>();
        state.resources().forEach(resource -> applied.put(resource.id(), resource));
        assertEquals(publisher.stateAt(state.revision()), applied);
        assertEquals(publisher.digest(state.revision()), state.digest(Scope.ALL));
    }

    /** Runs the subscriber until it has no more work or is disconnected. */
    void work() {
        long delay = 0;
        while (delay == 0 && subscriber.status().phase() != SubscriberPhase.DISCONNECTED) {
            delay = runOnce();
        }
    }

    long runOnce() {
        checkedInSlice = 0;
        long delay = subscriber.run(now);
        assertTrue(checkedInSlice <= SLICE, checkedInSlice + " resources in a slice");
        return delay;
    }

    void send(UpdatePart part) {
        sendLine(ResourceCodec.encode(part));
    }

    void send(List<UpdatePart> parts) {
        parts.forEach(this::send);
    }

    void sendLine(byte[] line) {
        subscriber.lineReceived(now, line);
        work();
    }

    void sendDelta(Revision to) {
        send(publisher.delta(inForce(), to, SLICE));
    }

    Revision inForce() {
        return subscriber.status().inForce();
    }

    void assertInForce(Revision revision) {
        assertEquals(revision, inForce());
        assertStateMatchesModel();
    }

    void advanceMillis(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Ends the subscription on behalf of the server. */
    void end() {
        open = false;
        subscriber.subscriptionEnded(now, 0, "lost");
    }

    /** Waits until the retry is due, lets the subscriber connect, and sends it a heartbeat. */
    void reconnect() {
        assertEquals(SubscriberPhase.DISCONNECTED, subscriber.status().phase());
        now += subscriber.run(now);
        subscriber.run(now);
        assertTrue(open);
        subscriber.heartbeatReceived(now);
    }

    SubscribeRequest lastRequest() {
        return requests.get(requests.size() - 1);
    }

    Acknowledgement lastAcknowledgement() {
        return acknowledgements.get(acknowledgements.size() - 1);
    }
}
