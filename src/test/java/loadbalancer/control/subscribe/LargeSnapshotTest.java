package loadbalancer.control.subscribe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.UpdatePart;
import org.junit.jupiter.api.Test;

class LargeSnapshotTest {
    private static final int SERVICES = 600;
    private static final int RESOURCES = 72_000;

    private static ModelPublisher publisherWithManyResources() {
        Resource[] resources = new Resource[RESOURCES];
        for (int i = 0; i < RESOURCES; i++) {
            resources[i] = SubscriberHarness.tenant("s" + i % SERVICES, "t" + i, i);
        }
        ModelPublisher publisher = new ModelPublisher();
        publisher.put(resources);
        return publisher;
    }

    @Test
    void appliesLargeSnapshotInSlicesToSeparateState() {
        ModelPublisher publisher = publisherWithManyResources();
        SubscriberHarness harness = SubscriberHarness.started(publisher);
        ResourceState before = harness.subscriber.state();
        for (UpdatePart part : publisher.snapshot(publisher.latest(), 5_000)) {
            harness.send(part);
        }
        assertNotSame(before, harness.subscriber.state());
        assertEquals(RESOURCES, harness.subscriber.state().size());
    }

    @Test
    void stagesResourcesOfLargePartInSlices() throws SubscriptionException {
        ModelPublisher publisher = publisherWithManyResources();
        UpdateCollector collector = new UpdateCollector(Scope.ALL);
        collector.begin(
                publisher.snapshot(publisher.latest(), RESOURCES).get(0), 1, new ResourceState());
        int slices = 0;
        while (collector.isStaging()) {
            int staged = countStaged(collector);
            collector.stage(500);
            assertTrue(countStaged(collector) - staged <= 500);
            slices++;
        }
        assertEquals(RESOURCES / 500, slices);
    }

    private static int countStaged(UpdateCollector collector) {
        int size = 0;
        for (String service : collector.update().services()) {
            size += collector.update().putResources(service).size();
        }
        return size;
    }
}
