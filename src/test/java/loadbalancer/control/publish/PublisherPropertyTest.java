package loadbalancer.control.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.VersionedResource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Drawn histories: changes one by one and merged, new epochs, subscribers with drawn scopes that
 * are slow, disconnect and reconnect with what they applied. Each revision that a subscriber ever
 * has in force is compared with the state as it was at that very revision, apart from the
 * publisher's own digests.
 */
class PublisherPropertyTest {
    private static final int STEPS = 400;
    private static final int SERVICES = 5;
    private static final int NAMES = 12;
    private static final PublisherLimits LIMITS =
            new PublisherLimits(100, 10_000, 200_000, 50_000, 400, 2_000, 15);

    private Random random;
    private PublisherBench bench;
    private final Map<Revision, Map<ResourceId, VersionedResource>> history = new HashMap<>();
    private final Map<ModelSubscriber, Revision> checked = new LinkedHashMap<>();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void everyRevisionInForceIsTheStateAtThatRevision(long seed) {
        random = new Random(seed);
        bench = new PublisherBench(LIMITS);
        for (int i = 0; i < 12; i++) {
            checked.put(bench.subscriber("lb-" + i, drawServices()), Revision.NONE);
        }
        for (int step = 0; step < STEPS; step++) {
            step();
            checked.keySet().forEach(this::check);
        }
        settle();
    }

    private String[] drawServices() {
        int first = random.nextInt(SERVICES);
        return switch (random.nextInt(3)) {
            case 0 -> new String[0];
            case 1 -> new String[] {"s" + first};
            default -> new String[] {"s" + first, "s" + (first + 1) % SERVICES, "s9"};
        };
    }

    private void step() {
        List<ModelSubscriber> all = List.copyOf(checked.keySet());
        ModelSubscriber subscriber = all.get(random.nextInt(all.size()));
        switch (random.nextInt(10)) {
            case 0, 1, 2, 3 -> changes(1);
            case 4 -> changes(1 + random.nextInt(4));
            case 5 -> subscriber.writableLines = random.nextInt(3);
            case 6 -> subscriber.writableLines = Integer.MAX_VALUE;
            case 7 -> bench.disconnect(subscriber);
            case 8 -> bench.admit(subscriber);
            default -> bench.run(random.nextInt(50));
        }
        if (random.nextInt(100) == 0) {
            bench.revision = new Revision(bench.revision.epoch() + 1, bench.revision.number());
        }
        if (random.nextInt(150) == 0) {
            bench.replaceState(state -> {});
        }
        bench.publisher.run(bench.now);
    }

    /** Several changes that the publisher learns of as one. */
    private void changes(int count) {
        Map<ResourceId, VersionedResource> put = new LinkedHashMap<>();
        List<ResourceId> deleted = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Change change = drawChange();
            bench.revision = bench.revision.next();
            bench.state.apply(bench.revision, change);
            for (Resource resource : change.put()) {
                deleted.remove(resource.id());
                put.put(resource.id(), new VersionedResource(bench.revision, resource));
            }
            for (ResourceId id : change.delete()) {
                put.remove(id);
                deleted.add(id);
            }
            history.put(bench.revision, content(Scope.ALL));
        }
        bench.publisher.changed(bench.revision, List.copyOf(put.values()), deleted);
    }

    private Change drawChange() {
        Map<ResourceId, Resource> put = new LinkedHashMap<>();
        Map<ResourceId, Boolean> delete = new LinkedHashMap<>();
        for (int left = 1 + random.nextInt(10); left > 0; left--) {
            Resource resource =
                    PublisherBench.tenant(
                            "s" + random.nextInt(SERVICES),
                            random.nextInt(NAMES),
                            random.nextInt(1_000));
            if (random.nextInt(3) > 0) {
                put.put(resource.id(), resource);
            } else if (bench.state.get(resource.id()) != null) {
                delete.put(resource.id(), true);
            }
        }
        put.keySet().forEach(delete::remove);
        return new Change("c", List.copyOf(put.values()), List.copyOf(delete.keySet()));
    }

    private Map<ResourceId, VersionedResource> content(Scope scope) {
        Map<ResourceId, VersionedResource> content = new HashMap<>();
        bench.state
                .resources()
                .filter(resource -> scope.covers(resource.id().service()))
                .forEach(resource -> content.put(resource.id(), resource));
        return content;
    }

    private void check(ModelSubscriber subscriber) {
        Revision revision = subscriber.applied.revision();
        assertFalse(checked.get(subscriber).isAfter(revision), "the revision went back");
        checked.put(subscriber, revision);
        if (!revision.equals(Revision.NONE) && history.containsKey(revision)) {
            Map<ResourceId, VersionedResource> expected = new HashMap<>(history.get(revision));
            expected.keySet().removeIf(id -> !subscriber.scope.covers(id.service()));
            Map<ResourceId, VersionedResource> applied = new HashMap<>();
            subscriber
                    .applied
                    .resources()
                    .forEach(resource -> applied.put(resource.id(), resource));
            assertEquals(expected, applied, () -> subscriber.name + " at " + revision);
        }
    }

    private void settle() {
        for (ModelSubscriber subscriber : checked.keySet()) {
            subscriber.writableLines = Integer.MAX_VALUE;
            bench.admit(subscriber);
        }
        bench.run(5_000);
        for (ModelSubscriber subscriber : checked.keySet()) {
            check(subscriber);
            assertEquals(bench.state.revision(), subscriber.applied.revision());
            Digest expected = bench.state.digest(subscriber.scope);
            assertEquals(expected, subscriber.digest());
        }
    }
}
