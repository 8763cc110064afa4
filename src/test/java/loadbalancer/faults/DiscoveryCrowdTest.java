package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import loadbalancer.faults.ScriptedDiscovery.Call;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A hundred balancers and one discovery: how many calls it gets, and whether all are served in
 * time.
 */
class DiscoveryCrowdTest {
    private static final int NODES = 100;
    private static final long SECOND = 1_000_000;
    private static final String UNAVAILABLE =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    private static final String CHANGE =
            FollowingNodes.list(42, false, FollowingNodes.entry("a", "Terminating"));

    /**
     * Works through calls in turn, three at once for 60 ms each; one that waits for 2.5 s fails.
     */
    private static final class SmallDiscovery {
        private static final int AT_ONCE = 3;
        private static final long WORK = 60_000;
        private static final long LONGEST_WAIT = 2_500_000;

        private record Waiting(Call call, long since) {}

        final List<Call> served = new ArrayList<>();
        boolean changed;
        private final FollowingNodes world;
        private final Deque<Waiting> line = new ArrayDeque<>();
        private int busy;
        private int failed;

        SmallDiscovery(FollowingNodes world) {
            this.world = world;
        }

        void take(Call call) {
            line.add(new Waiting(call, world.timeline.micros()));
            world.timeline.in(
                    LONGEST_WAIT,
                    () -> {
                        if (line.removeIf(w -> w.call == call)) {
                            failed++;
                            call.send(UNAVAILABLE);
                        }
                    });
            next();
        }

        private void next() {
            if (busy == AT_ONCE || line.isEmpty()) {
                return;
            }
            Call call = line.poll().call;
            busy++;
            world.timeline.in(
                    WORK,
                    () -> {
                        busy--;
                        served.add(call);
                        call.send(ScriptedDiscovery.HEAD);
                        call.tell(changed && call.since() < 42 ? CHANGE : "");
                        next();
                    });
        }
    }

    private static FollowingNodes hundred(long seed, String mode) throws Exception {
        FollowingNodes world = new FollowingNodes(seed, mode);
        SmallDiscovery small = new SmallDiscovery(world);
        world.discovery.script = small::take;
        for (int i = 0; i < NODES; i++) {
            world.start();
            world.timeline.runUntil(world.timeline.micros() + 25_000);
        }
        world.timeline.runUntil(5 * SECOND);
        assertEquals(NODES, world.discovery.calls.size());
        return world;
    }

    private static long between(FollowingNodes world, long from, long to) {
        return world.discovery.calls.stream().filter(at -> at >= from && at < to).count();
    }

    private static long mostWithin(FollowingNodes world, long window, long from, long to) {
        long most = 0;
        for (long at = from; at < to; at += window) {
            most = Math.max(most, between(world, at, Math.min(to, at + window)));
        }
        return most;
    }

    /** Discovery refuses each call at once for 8 s: calls grow rare, and don't come in step. */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void callsOfAFleetStayBoundedWhileDiscoveryIsDown(String mode) throws Exception {
        FollowingNodes world = hundred(1, mode);
        world.discovery.script = c -> c.send(UNAVAILABLE);
        world.network.breakAll(world.host);
        long down = 5 * SECOND;
        world.timeline.runUntil(down + 8 * SECOND);
        assertTrue(
                between(world, down, down + SECOND) <= 5 * NODES,
                "in the first second " + between(world, down, down + SECOND));
        long settled = down + 2 * SECOND;
        assertTrue(
                mostWithin(world, SECOND, settled, down + 8 * SECOND) <= 1.5 * NODES,
                "in a later second " + mostWithin(world, SECOND, settled, down + 8 * SECOND));
        assertTrue(
                mostWithin(world, SECOND / 10, settled, down + 8 * SECOND) <= NODES / 4,
                "in a tenth of a second "
                        + mostWithin(world, SECOND / 10, settled, down + 8 * SECOND));
    }

    /**
     * It comes back after 8 s with a change: all hear of it in time, and no call is made in vain.
     */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void allAreServedInTimeAfterAnOutage(String mode) throws Exception {
        for (long seed = 1; seed <= 3; seed++) {
            FollowingNodes world = hundred(seed, mode);
            world.network.unlisten(FollowingNodes.DISCOVERY, world.discovery);
            world.network.breakAll(world.host);
            long back = 13 * SECOND;
            world.timeline.runUntil(back);
            SmallDiscovery small = new SmallDiscovery(world);
            small.changed = true;
            world.discovery.script = small::take;
            world.network.listen(world.host, FollowingNodes.DISCOVERY, world.discovery);
            assertAllTold(world, small, back);
        }
    }

    /** All watches fall silent at one moment, right after a line that all of them got at once. */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void allAreServedInTimeAfterWatchesFellSilent(String mode) throws Exception {
        for (long seed = 1; seed <= 3; seed++) {
            FollowingNodes world = new FollowingNodes(seed, mode);
            List<Call> first = new ArrayList<>();
            world.discovery.script =
                    c -> {
                        first.add(c);
                        c.send(ScriptedDiscovery.HEAD);
                        c.tell("");
                    };
            for (int i = 0; i < NODES; i++) {
                world.start();
            }
            long silent = 5 * SECOND;
            world.timeline.runUntil(silent);
            first.forEach(c -> c.say("\n"));
            first.forEach(Call::fallSilent);
            SmallDiscovery small = new SmallDiscovery(world);
            small.changed = true;
            world.discovery.script = small::take;
            assertAllTold(world, small, silent);
            long from = world.discovery.calls.get(NODES);
            assertTrue(
                    between(world, from, from + 50_000) <= NODES / 2,
                    "in 50 ms " + between(world, from, from + 50_000));
        }
    }

    private static void assertAllTold(FollowingNodes world, SmallDiscovery small, long from) {
        world.timeline.runUntil(from + 12 * SECOND);
        long latest = 0;
        for (int i = 0; i < NODES; i++) {
            latest = Math.max(latest, world.heardDraining(i, "a") - from);
        }
        assertTrue(latest <= 6 * SECOND, "the last hears after " + latest / 1_000 + " ms");
        assertEquals(0, small.failed, "calls that waited in vain");
        assertEquals(NODES, small.served.size(), "one call each");
    }
}
