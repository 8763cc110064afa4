package loadbalancer.control.model;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ChangeCheckTest {
    private static final Service SERVICE = new Service("shop", List.of("a"), List.of("m1"));
    private static final RequestClass CLASS =
            new RequestClass(
                    "shop",
                    "read",
                    0.1,
                    1,
                    1,
                    0,
                    RequestClass.RetrySafety.IDEMPOTENT,
                    RequestClass.DeduplicationScope.ALL,
                    0);
    private static final Route ROUTE = new Route("shop", "r1", "", "/read", "read");

    private final ResourceState state = new ResourceState();

    @BeforeEach
    void addOneService() {
        state.apply(new Revision(1, 1), change(SERVICE, CLASS, ROUTE));
    }

    private static Change change(Resource... put) {
        return new Change("c", List.of(put), List.of());
    }

    private static Change deletion(ResourceId... ids) {
        return new Change("c", List.of(), List.of(ids));
    }

    static Stream<Change> invalidChanges() {
        return Stream.of(
                change(),
                new Change("", List.of(SERVICE), List.of()),
                change(new Tenant("nowhere", "t", 1, 0)),
                change(new Tenant("shop", "t", -1, 0)),
                change(new Tenant("shop", "t", Double.NaN, 0)),
                change(new Tenant("shop", null, 1, 0)),
                change(new Tenant("shop", "t", 1, 0), new Tenant("shop", "t", 2, 0)),
                change(new Route("shop", "r2", "", "/x", "nowhere")),
                change(new Route("shop", "r2", "", "x", "read")),
                change(upstream("10.0.0.1:0")),
                change(upstream("host:80")),
                change(upstream("10.0.0.256:80")),
                change(new Limits("shop", 0, 1, true, 1, 1, 1)),
                deletion(new ResourceId(ResourceKind.TENANT, "shop", "none")),
                deletion(new ResourceId(null, null, null)),
                deletion(SERVICE.id()),
                deletion(CLASS.id()),
                new Change("c", List.of(ROUTE), List.of(ROUTE.id())));
    }

    private static Upstream upstream(String address) {
        return new Upstream("shop", "u", address, "a", "m1", 0, Upstream.State.READY, 1, 0);
    }

    @ParameterizedTest
    @MethodSource("invalidChanges")
    void rejectsInvalidChangeWithPlaceAndReasonInOneLine(Change change) {
        String message =
                assertThrows(InvalidChangeException.class, () -> ChangeCheck.check(state, change))
                        .getMessage();
        assertEquals(1, message.lines().count());
        assertTrue(message.contains(": "), message);
    }

    @Test
    void acceptsReferencesWithinTheChangeItself() {
        Change change =
                change(
                        new Service("other", List.of(), List.of()),
                        new Route("other", "r", "", "/", "write"),
                        new RequestClass("other", "write", 1, 2, 1, 0, null, null, 0));
        assertDoesNotThrow(() -> ChangeCheck.check(state, change));
    }

    @Test
    void acceptsDeletionOfServiceWithAllItsResources() {
        assertDoesNotThrow(
                () -> ChangeCheck.check(state, deletion(SERVICE.id(), CLASS.id(), ROUTE.id())));
    }

    @Test
    void acceptsDeletionOfClassWhoseRoutesAreReassigned() {
        RequestClass next = new RequestClass("shop", "next", 0.1, 1, 1, 0, null, null, 0);
        Change change =
                new Change(
                        "c",
                        List.of(next, new Route("shop", "r1", "", "/read", "next")),
                        List.of(CLASS.id()));
        assertDoesNotThrow(() -> ChangeCheck.check(state, change));
    }
}
