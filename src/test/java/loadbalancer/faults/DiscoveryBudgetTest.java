package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.faults.ScriptedDiscovery.Call;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Whatever failed, a change is acted upon by 6 s after discovery had it and could be reached: by
 * the whole balancer in virtual time, at the worst moments, where discovery is pushed and where it
 * is asked.
 */
class DiscoveryBudgetTest {
    private static final long TOLD = 6_000_000;

    /** The longest that an answer takes here from the moment that the call has come. */
    private static final long TURN = 2_700_000;

    private static final String CHANGE =
            FollowingNodes.list(42, false, FollowingNodes.entry("a", "Terminating"));

    /** Serves as discovery should, with each answer so late. */
    private static void serve(FollowingNodes world, Call call, boolean changed) {
        world.timeline.in(
                TURN,
                () -> {
                    call.send(ScriptedDiscovery.HEAD);
                    call.tell(changed && call.since() < 42 ? CHANGE : "");
                });
    }

    /** All watches fall silent right after a line, and there is a change at that moment. */
    @ParameterizedTest
    @ValueSource(strings = {"pushed", "on_request"})
    void aWatchThatFallsSilentIsMadeUpFor(String mode) throws Exception {
        for (long seed = 1; seed <= 40; seed++) {
            FollowingNodes world = new FollowingNodes(seed, mode);
            List<Call> first = new ArrayList<>();
            world.discovery.script =
                    c -> {
                        first.add(c);
                        c.send(ScriptedDiscovery.HEAD);
                        c.tell("");
                    };
            world.start();
            world.timeline.runUntil(4_100_000 + seed * 47_000);
            first.forEach(c -> c.say("\n"));
            long silent = world.timeline.micros();
            first.forEach(Call::fallSilent);
            world.discovery.script = c -> serve(world, c, true);
            world.timeline.runUntil(silent + 3 * TOLD);
            assertTold(world, silent, mode + ", seed " + seed);
        }
    }

    /** Discovery fails each call in one way up to a moment, and from then on serves a change. */
    @ParameterizedTest
    @CsvSource({
        "pushed,refused",
        "pushed,mute",
        "pushed,no room",
        "pushed,503",
        "pushed,503 late",
        "pushed,reset",
        "pushed,endless line",
        "pushed,endless head",
        "pushed,head only",
        "pushed,ends after a blank",
        "on_request,refused",
        "on_request,mute",
        "on_request,no room",
        "on_request,503",
        "on_request,503 late",
        "on_request,reset",
        "on_request,endless line",
        "on_request,endless head",
        "on_request,head only",
        "on_request,ends after a blank"
    })
    void aDiscoveryThatComesBackIsHeardInTime(String mode, String fault) throws Exception {
        for (long seed = 1; seed <= 60; seed++) {
            FollowingNodes world = new FollowingNodes(seed, mode);
            ScriptedDiscovery discovery = world.discovery;
            discovery.script = c -> fail(world, c, fault);
            if (fault.equals("reset")) {
                discovery.accepted = c -> c.end.breakOff();
            } else if (fault.equals("no room")) {
                discovery.room = false;
            } else if (fault.equals("refused")) {
                world.network.unlisten(FollowingNodes.DISCOVERY, discovery);
            }
            world.start();
            long back = 3_000_000 + seed * 131_000;
            world.timeline.runUntil(back);
            discovery.accepted = c -> {};
            discovery.room = true;
            if (fault.equals("refused")) {
                world.network.listen(world.host, FollowingNodes.DISCOVERY, discovery);
            }
            discovery.script = c -> serve(world, c, true);
            world.timeline.runUntil(back + 3 * TOLD);
            assertTold(world, back, mode + ", " + fault + ", seed " + seed);
        }
    }

    private static void fail(FollowingNodes world, Call c, String fault) {
        switch (fault) {
            case "503" -> c.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            case "503 late" ->
                    world.timeline.in(
                            2_600_000,
                            () ->
                                    c.send(
                                            "HTTP/1.1 503 Service Unavailable\r\n"
                                                    + "Content-Length: 0\r\n\r\n"));
            case "endless line" -> {
                c.send(ScriptedDiscovery.HEAD);
                c.say("{\"version\":42,\"servers\":[");
                c.drip("1\r\n \r\n", 100_000);
            }
            case "endless head" -> {
                c.send("HTTP/1.1 200 OK\r\n");
                c.drip("a", 100_000);
            }
            case "head only" -> c.send(ScriptedDiscovery.HEAD);
            case "ends after a blank" -> {
                c.send(ScriptedDiscovery.HEAD);
                c.say("\n");
                c.send("0\r\n\r\n");
            }
            default -> {}
        }
    }

    private static void assertTold(FollowingNodes world, long from, String what) {
        long took = world.heardDraining(0, "a") - from;
        assertTrue(
                took <= TOLD,
                what + ": told after " + took / 1_000 + " ms, calls at " + world.discovery.calls);
    }
}
