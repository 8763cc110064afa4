package loadbalancer.control.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class StateDifferenceTest {
    private final ResourceState before = new ResourceState();
    private final ResourceState after = new ResourceState();

    private static VersionedResource tenant(int number, String name, double share) {
        return new VersionedResource(new Revision(1, number), new Tenant("a", name, 0, share));
    }

    @Test
    void containsAddedChangedAndDeletedResources() {
        before.put(tenant(1, "equal", 0.1));
        before.put(tenant(1, "changed", 0.1));
        before.put(tenant(1, "deleted", 0.1));
        after.put(tenant(1, "equal", 0.1));
        after.put(tenant(2, "changed", 0.2));
        StateDifference difference = StateDifference.between(before, after);
        assertEquals(List.of(tenant(2, "changed", 0.2)), difference.put());
        assertEquals(List.of(tenant(1, "deleted", 0.1).id()), difference.deleted());
    }

    @Test
    void putsResourceThatDiffersOnlyByRevision() {
        before.put(tenant(1, "t", 0.1));
        after.put(tenant(2, "t", 0.1));
        assertEquals(List.of(tenant(2, "t", 0.1)), StateDifference.between(before, after).put());
    }

    @Test
    void appliesDifferenceToEarlierState() {
        before.put(tenant(1, "t", 0.1));
        before.put(tenant(1, "u", 0.1));
        after.put(tenant(2, "u", 0.3));
        after.put(tenant(3, "v", 0.1));
        StateDifference.between(before, after).applyTo(before);
        assertEquals(after.digest(Scope.ALL), before.digest(Scope.ALL));
        assertEquals(after.size(), before.size());
    }
}
