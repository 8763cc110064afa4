package loadbalancer.control.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class ResourceStateTest {
    private static final Revision FIRST = new Revision(1, 1);

    private static Change change(Resource... put) {
        return new Change("c", List.of(put), List.of());
    }

    private static Resource tenant(String service, String name) {
        return new Tenant(service, name, 10, 0.5);
    }

    @Test
    void digestDependsOnContentAndNotOnOrder() {
        ResourceState one = new ResourceState();
        one.apply(FIRST, change(tenant("a", "x"), tenant("b", "y")));
        ResourceState other = new ResourceState();
        other.apply(FIRST, change(tenant("b", "y"), tenant("a", "x")));
        assertEquals(one.digest(Scope.ALL), other.digest(Scope.ALL));
        assertNotEquals(one.digest(Scope.of("a")), one.digest(Scope.of("b")));
        assertEquals(one.digest(Scope.ALL), one.digest(Scope.of("a", "b")));
    }

    @Test
    void digestDependsOnTheRevisionOfAResource() {
        ResourceState state = new ResourceState();
        state.apply(FIRST, change(tenant("a", "x")));
        Digest first = state.digest(Scope.ALL);
        state.apply(FIRST.next(), change(tenant("a", "x")));
        assertNotEquals(first, state.digest(Scope.ALL));
    }

    @Test
    void hasEmptyDigestAfterDeletionOfAllResources() {
        ResourceState state = new ResourceState();
        state.apply(FIRST, change(tenant("a", "x"), tenant("a", "y")));
        state.apply(FIRST.next(), change(tenant("a", "x")));
        state.apply(
                FIRST.next().next(),
                new Change("d", List.of(), List.of(tenant("a", "x").id(), tenant("a", "y").id())));
        assertEquals(Digest.EMPTY, state.digest(Scope.ALL));
        assertEquals(0, state.size());
        assertEquals(0, state.services().size());
    }

    @Test
    void rejectsEarlierRevision() {
        ResourceState state = new ResourceState();
        state.advance(new Revision(2, 1));
        assertThrows(IllegalStateException.class, () -> state.advance(new Revision(1, 9)));
        assertEquals(new Revision(2, 1), state.revision());
    }
}
