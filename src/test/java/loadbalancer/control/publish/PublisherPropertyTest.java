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
 * Guards against subscribers with a state that never existed. Runs random histories of single and
 * merged changes, new epochs, and subscribers with random scopes that are slow, disconnect and
 * reconnect with the state they applied. Each revision in force is compared with the recorded state
 * of that revision, independently of the publisher's digests.
 */
class PublisherPropertyTest {
    private static final int STEPS = 400;
    private static final int SERVICES = 5;
    private static final int NAMES = 12;
    private static final PublisherLimits LIMITS =
            new PublisherLimits(100, 10_000, 200_000, 50_000, 400, 2_000, 15);

    private Random random;
    private PublisherFixture fixture;
    private final Map<Revision, Map<ResourceId, VersionedResource>> history = new HashMap<>();
    private final Map<ModelSubscriber, Revision> checked = new LinkedHashMap<>();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void subscribersHaveTheStateOfEachRevisionInForce(long seed) {
        random = new Random(seed);
        fixture = new PublisherFixture(LIMITS);
        for (int i = 0; i < 12; i++) {
            checked.put(fixture.subscriber("lb-" + i, randomServices()), Revision.NONE);
        }
        for (int step = 0; step < STEPS; step++) {
            step();
            checked.keySet().forEach(this::check);
        }
        settle();
    }

    private String[] randomServices() {
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
            case 0, 1, 2, 3 -> makeMergedChange(1);
            case 4 -> makeMergedChange(1 + random.nextInt(4));
            case 5 -> subscriber.writableLines = random.nextInt(3);
            case 6 -> subscriber.writableLines = Integer.MAX_VALUE;
            case 7 -> fixture.disconnect(subscriber);
            case 8 -> fixture.admit(subscriber);
            default -> fixture.run(random.nextInt(50));
        }
        if (random.nextInt(100) == 0) {
            fixture.revision =
                    new Revision(fixture.revision.epoch() + 1, fixture.revision.number());
        }
        if (random.nextInt(150) == 0) {
            fixture.replaceState(state -> {});
        }
        fixture.publisher.run(fixture.now);
    }

    /** Makes several changes and notifies the publisher of them as one merged change. */
    private void makeMergedChange(int count) {
        Map<ResourceId, VersionedResource> put = new LinkedHashMap<>();
        List<ResourceId> deleted = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Change change = randomChange();
            fixture.revision = fixture.revision.next();
            fixture.state.apply(fixture.revision, change);
            for (Resource resource : change.put()) {
                deleted.remove(resource.id());
                put.put(resource.id(), new VersionedResource(fixture.revision, resource));
            }
            for (ResourceId id : change.delete()) {
                put.remove(id);
                deleted.add(id);
            }
            history.put(fixture.revision, content(Scope.ALL));
        }
        fixture.publisher.stateChanged(fixture.revision, List.copyOf(put.values()), deleted);
    }

    private Change randomChange() {
        Map<ResourceId, Resource> put = new LinkedHashMap<>();
        Map<ResourceId, Boolean> delete = new LinkedHashMap<>();
        for (int left = 1 + random.nextInt(10); left > 0; left--) {
            Resource resource =
                    PublisherFixture.tenant(
                            "s" + random.nextInt(SERVICES),
                            random.nextInt(NAMES),
                            random.nextInt(1_000));
            if (random.nextInt(3) > 0) {
                put.put(resource.id(), resource);
            } else if (fixture.state.get(resource.id()) != null) {
                delete.put(resource.id(), true);
            }
        }
        put.keySet().forEach(delete::remove);
        return new Change("c", List.copyOf(put.values()), List.copyOf(delete.keySet()));
    }

    private Map<ResourceId, VersionedResource> content(Scope scope) {
        Map<ResourceId, VersionedResource> content = new HashMap<>();
        fixture.state
                .resources()
                .filter(resource -> scope.covers(resource.id().service()))
                .forEach(resource -> content.put(resource.id(), resource));
        return content;
    }

    private void check(ModelSubscriber subscriber) {
        Revision revision = subscriber.applied.revision();
        assertFalse(checked.get(subscriber).isAfter(revision), "the revision decreased");
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
            fixture.admit(subscriber);
        }
        fixture.run(5_000);
        for (ModelSubscriber subscriber : checked.keySet()) {
            check(subscriber);
            assertEquals(fixture.state.revision(), subscriber.applied.revision());
            Digest expected = fixture.state.digest(subscriber.scope);
            assertEquals(expected, subscriber.digest());
        }
    }
}
