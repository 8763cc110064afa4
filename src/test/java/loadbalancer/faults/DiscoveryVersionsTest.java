package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.faults.ScriptedDiscovery.Call;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers of discovery that cross: in virtual time, so that each comes when the test says. */
class DiscoveryVersionsTest {
    private static final String DRAINS =
            FollowingNodes.list(43, false, FollowingNodes.entry("a", "Terminating"));
    private static final String OLD =
            FollowingNodes.list(
                    42,
                    true,
                    FollowingNodes.entry("a", "Ready"),
                    FollowingNodes.entry("b", "Ready"));

    private final FollowingNodes world = new FollowingNodes(7, "pushed");

    private long told(EndpointListUpdateType kind) {
        return world.heard.stream().filter(h -> h.kind() == kind).count();
    }

    /**
     * A new watch is answered by one that lags behind: its whole list is older, and is not taken.
     */
    @Test
    void anOlderListOnANewWatchIsIgnored() throws Exception {
        world.discovery.script =
                c -> {
                    c.send(ScriptedDiscovery.HEAD);
                    c.tell(world.discovery.calls.size() == 1 ? DRAINS : OLD);
                    if (world.discovery.calls.size() == 1) {
                        world.timeline.in(1_000_000, c.end::breakOff);
                    }
                };
        world.start();
        world.timeline.runUntil(5_000_000);
        assertEquals(2, world.discovery.calls.size());
        assertEquals(1, told(EndpointListUpdateType.DELTA));
        assertEquals(0, told(EndpointListUpdateType.FULL));
    }

    /** A part can't be read, so the whole is asked for; on its way the watch has overtaken it. */
    @Test
    void aWholeListThatWasOvertakenIsIgnored() throws Exception {
        List<Call> calls = new ArrayList<>();
        world.discovery.script =
                c -> {
                    calls.add(c);
                    c.send(ScriptedDiscovery.HEAD);
                };
        world.start();
        world.timeline.runUntil(1_000_000);
        calls.get(0).tell("{\"version\":42,\"full\":false,\"servers\":[{\"id\":7}]}");
        world.timeline.runUntil(2_000_000);
        assertEquals(2, calls.size());
        assertTrue(calls.get(0).follows() && !calls.get(1).follows());
        calls.get(0).say(DRAINS + "\n");
        world.timeline.runUntil(2_100_000);
        calls.get(1).say(OLD);
        world.timeline.runUntil(10_000_000);
        assertEquals(1, told(EndpointListUpdateType.DELTA));
        assertEquals(0, told(EndpointListUpdateType.FULL));
        assertEquals(2, calls.size(), "it is answered, and the watch goes on");
    }

    /** The whole list makes up for what could not be read, and is asked for until it is there. */
    @Test
    void aBrokenLineIsMadeUpForByTheWholeList() throws Exception {
        world.discovery.script =
                c -> {
                    if (c.follows()) {
                        c.send(ScriptedDiscovery.HEAD);
                        c.tell("{\"version\":42,\"full\":false,\"servers\":[{\"id\":7}]}");
                    } else if (world.discovery.calls.size() < 4) {
                        c.end.breakOff();
                    } else {
                        c.send(ScriptedDiscovery.HEAD);
                        c.say(
                                FollowingNodes.list(
                                                        42,
                                                        true,
                                                        FollowingNodes.entry("a", "Terminating"))
                                                .replace("[", "[\n  ")
                                                .replace("{\"v", "{\n  \"v")
                                        + "\n");
                        c.send("0\r\n\r\n");
                    }
                };
        world.start();
        world.timeline.runUntil(10_000_000);
        assertEquals(4, world.discovery.calls.size());
        assertEquals(1, told(EndpointListUpdateType.FULL));
        assertTrue(world.heardDraining(0, "a") < 2_000_000);
    }

    /** A server that says one empty line and breaks off is called ever more rarely. */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void aServerThatBreaksOffAtOnceIsNoHotLoop(String mode) throws Exception {
        FollowingNodes one = new FollowingNodes(3, mode);
        one.discovery.script =
                c -> {
                    c.send(ScriptedDiscovery.HEAD);
                    c.say("\n");
                    c.send("0\r\n\r\n");
                };
        one.start();
        one.timeline.runUntil(10_000_000);
        int calls = one.discovery.calls.size();
        assertTrue(calls >= 7 && calls <= 20, calls + " calls in 10 s");
    }

    /** Broken lines without end: the whole list is asked for, ever more rarely. */
    @Test
    void brokenLinesWithoutEndAreNoHotLoop() throws Exception {
        world.discovery.script =
                c -> {
                    c.send(ScriptedDiscovery.HEAD);
                    c.drip("2\r\nx\n\r\n", 20_000);
                };
        world.start();
        world.timeline.runUntil(20_000_000);
        int calls = world.discovery.calls.size();
        assertTrue(calls >= 6 && calls <= 40, calls + " calls in 20 s");
    }
}
