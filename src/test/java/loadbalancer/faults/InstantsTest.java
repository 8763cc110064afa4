package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.lab.sim.Streams;
import loadbalancer.proxy.LoadBalancerFactory;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Cases of one microsecond, on a network that takes the same time for every byte. */
class InstantsTest extends Scenarios {
    private static final long WINDOW = 1_200_000;

    /** The module acts so much before the end of anything: three ticks. */
    private static final long MARGIN = 3_000;

    private static final long TIME_LEFT = 500_000;

    private final List<Long> sends = new ArrayList<>();
    private VirtualWorld world;
    private boolean keepsTimers = true;

    @BeforeEach
    void none() {
        sends.clear();
    }

    private LoadBalancerFactory recording() {
        return (settings, seed, out) ->
                LoadBalancerFactory.BALANCE.create(
                        settings,
                        seed,
                        new ForwardingActions(out) {
                            @Override
                            public void sendAttempt(String request, String upstream, long timeout) {
                                sends.add(world.timeline.micros());
                                super.sendAttempt(request, upstream, timeout);
                            }

                            @Override
                            public void scheduleTimer(String token, long delay) {
                                if (keepsTimers) {
                                    super.scheduleTimer(token, delay);
                                }
                            }
                        });
    }

    /** One request to two upstreams, which answer in turn with these. */
    private VirtualWorld.Outcome ask(
            Oracle.Effect effect, long timeLeft, Upstream.Reply... replies) {
        sends.clear();
        int[] next = new int[1];
        VirtualWorld.Outcome o =
                VirtualWorld.play(
                        new Plan(1, 2, 0, 3_000, 0, List.of()),
                        recording(),
                        w -> {
                            world = w;
                            w.network.quality(200, 0, 0);
                            w.upstreams.forEach(
                                    u ->
                                            u.script =
                                                    id -> {
                                                        Upstream.Reply r = replies[next[0]++];
                                                        return new Upstream.Reply(
                                                                r.text().replace("ID", id),
                                                                r.after());
                                                    });
                            Ask ask = new Ask("r0", effect, timeLeft, "key", "key=k", 3, false);
                            w.timeline.in(
                                    1_500_000,
                                    () ->
                                            Client.asking(w, new Streams(1).of("one"), ask)
                                                    .connect());
                        });
        assertEquals(List.of(), o.breaches());
        return o;
    }

    private static Upstream.Reply error(long after) {
        return new Upstream.Reply("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", after);
    }

    private static Upstream.Reply good(long after) {
        return new Upstream.Reply(
                "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nanswer to ID from u00", after);
    }

    private static long answers(VirtualWorld.Outcome o) {
        return o.trace().lines().filter(l -> l.contains("client got")).count();
    }

    /** From a send to word of its end, beside the time that the upstream takes. */
    private long way() {
        ask(Oracle.Effect.KEYED, 1_900_000, error(100_000), good(1_000));
        return sends.get(1) - sends.get(0) - 100_000;
    }

    @ParameterizedTest
    @CsvSource({"-1, 2", "0, 1", "1, 1"})
    void aRepeatGoesOutUpToTheLastMicrosecondOfTheKeyWindow(long off, int attempts) {
        long last = WINDOW - MARGIN;
        VirtualWorld.Outcome o =
                ask(Oracle.Effect.KEYED, 1_900_000, error(last + off - way()), good(1_000));
        assertEquals(attempts, sends.size());
        assertEquals(1, answers(o));
        if (attempts == 2) {
            assertEquals(last + off, sends.get(1) - sends.get(0));
        }
    }

    /** The answer comes, and at that very microsecond the module gives the request up. */
    @ParameterizedTest
    @ValueSource(longs = {-1, 0, 1})
    void theAnswerAndTheModulesDeadlineAtOneInstantAreOneAnswer(long off) {
        VirtualWorld.Outcome o =
                ask(Oracle.Effect.UNSAFE, TIME_LEFT, good(TIME_LEFT - MARGIN + off - way()));
        assertEquals(1, answers(o));
        if (off != 0) {
            assertTrue(
                    o.trace().contains(off < 0 ? "client got 200" : "client got 504"), o.trace());
        }
    }

    /**
     * The same at the deadline that stands behind the module's, with a module that lets it come to
     * that.
     */
    @ParameterizedTest
    @ValueSource(longs = {-1, 0, 1})
    void theAnswerAndTheLastDeadlineAtOneInstantAreOneAnswer(long off) {
        long way = way();
        keepsTimers = false;
        VirtualWorld.Outcome o = ask(Oracle.Effect.UNSAFE, TIME_LEFT, good(TIME_LEFT + off - way));
        assertEquals(1, answers(o));
        if (off != 0) {
            assertTrue(
                    o.trace().contains(off < 0 ? "client got 200" : "client got 504"), o.trace());
        }
    }

    /**
     * Behind the module stand guards of its host's, and with one that never gives up nothing else.
     */
    @Test
    void withAModuleThatGivesNothingUpEveryRequestIsAnsweredAllTheSame() {
        LoadBalancerFactory mute =
                (settings, seed, out) ->
                        LoadBalancerFactory.BALANCE.create(
                                settings,
                                seed,
                                new ForwardingActions(out) {
                                    @Override
                                    public void scheduleTimer(String token, long delay) {}

                                    @Override
                                    public void reject(String request, long retryAfter) {}

                                    @Override
                                    public void fail(String request) {}
                                });
        for (long seed = 1; seed <= 60; seed++) {
            Plan plan = Plan.drawn(seed);
            assertEquals(
                    List.of(), VirtualWorld.play(plan, mute, w -> {}).breaches(), "seed " + seed);
        }
    }
}
