package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import loadbalancer.EndpointState;
import org.junit.jupiter.api.Test;

class EndpointTableTest {
    private final EndpointTable table = new EndpointTable();
    private long version;

    private static EndpointListUpdate.Entry entry(
            String id, int port, EndpointState state, long startedAtMillis) {
        return new EndpointListUpdate.Entry(
                id,
                new InetSocketAddress("127.0.0.1", port),
                "z",
                "k",
                0,
                state,
                1,
                startedAtMillis);
    }

    private static EndpointListUpdate.Entry ready(String id, int port, long startedAtMillis) {
        return entry(id, port, EndpointState.READY, startedAtMillis);
    }

    private void update(boolean isComplete, EndpointListUpdate.Entry... entries) {
        version++;
        table.apply(
                table.withoutReplaced(
                        new EndpointListUpdate(version, isComplete, List.of(entries))));
    }

    private String ids() {
        return Stream.of(table.list())
                .flatMap(list -> list.entries().stream())
                .map(EndpointListUpdate.Entry::id)
                .sorted()
                .collect(Collectors.joining(" "));
    }

    @Test
    void laterEntryTakesOverTheAddress() {
        update(true, ready("a", 1, 0), ready("b", 2, 0));
        update(false, ready("c", 1, 0));
        assertEquals("b c", ids());
    }

    @Test
    void changeOfTheReplacedEndpointDoesNotBringItBack() {
        update(true, ready("a", 1, 0));
        update(false, ready("b", 1, 500));
        update(false, entry("a", 1, EndpointState.DRAINING, 0));
        assertEquals("b", ids());
        update(false, entry("a", 1, EndpointState.REMOVED, 0));
        assertEquals("b", ids());
    }

    @Test
    void addressThatIsGivenUpInTheSameChangeIsFree() {
        update(true, ready("a", 1, 0));
        update(false, ready("b", 1, 0), entry("a", 1, EndpointState.REMOVED, 0));
        assertEquals("b", ids());
        update(false, entry("b", 1, EndpointState.REMOVED, 0), ready("c", 1, 0));
        assertEquals("c", ids());
    }

    @Test
    void completeListIsDecidedByTheStart() {
        update(true, ready("a", 1, 700), ready("b", 1, 0), ready("c", 2, 0), ready("d", 2, 0));
        assertEquals("a c d", ids());
    }

    @Test
    void restartedProcessKeepsItsAddress() {
        update(true, ready("a", 1, 0));
        update(false, ready("a", 1, 900));
        assertEquals("a", ids());
    }
}
