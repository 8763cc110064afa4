package loadbalancer.node.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** A balancer's processes in drawn histories, against a small model of processes. */
class ProcessSupervisorTest {
    private static final Variant OLD = new Variant("old", "");
    private static final Variant NEW = new Variant("new", "");
    private static final long SECOND = 1_000_000;

    /** How the processes of one program fare. */
    private enum Fate {
        GOOD,
        CRASHES,
        NEVER_READY,
        CRASHES_LATER
    }

    private static final class Play {
        record Process(Variant variant, long startedAt, long endsAt) {}

        final Random random;
        final Map<Variant, Fate> fates = new HashMap<>();
        final Map<Integer, Process> alive = new HashMap<>();
        final ProcessSupervisor supervisor;
        Variant serves;
        int starts;
        int failed;
        long now;

        Play(long seed) {
            random = new Random(seed);
            supervisor = new ProcessSupervisor(OLD, null, random);
        }

        void run(int seconds) {
            for (long end = now + seconds * SECOND; now < end; now += SECOND / 5) {
                step();
            }
        }

        private void step() {
            for (int number : new java.util.TreeSet<>(alive.keySet())) {
                Process p = alive.get(number);
                Fate fate = fates.getOrDefault(p.variant, Fate.GOOD);
                long age = now - p.startedAt;
                boolean dies =
                        now >= p.endsAt
                                || fate == Fate.CRASHES && age > SECOND
                                || fate == Fate.CRASHES_LATER && age > 20 * SECOND;
                if (dies) {
                    alive.remove(number);
                    supervisor.exited(now, number);
                } else if (age > 3 * SECOND && fate != Fate.NEVER_READY) {
                    supervisor.ready(now, number);
                }
            }
            for (ProcessSupervisor.Order order : supervisor.tick(now)) {
                if (order instanceof ProcessSupervisor.Order.Start s) {
                    alive.put(s.process(), new Process(s.variant(), now, Long.MAX_VALUE));
                    starts++;
                } else if (order instanceof ProcessSupervisor.Order.Terminate t) {
                    alive.computeIfPresent(
                            t.process(),
                            (n, p) ->
                                    new Process(
                                            p.variant,
                                            p.startedAt,
                                            random.nextInt(5) == 0
                                                    ? Long.MAX_VALUE
                                                    : now + 2 * SECOND));
                } else if (order instanceof ProcessSupervisor.Order.Kill k) {
                    alive.computeIfPresent(
                            k.process(), (n, p) -> new Process(p.variant, p.startedAt, now));
                } else if (order instanceof ProcessSupervisor.Order.Became b) {
                    serves = b.variant();
                } else {
                    failed++;
                }
            }
            assertTrue(alive.size() <= 2, "three processes share what is given to one");
        }
    }

    private static Play serving(long seed) {
        Play play = new Play(seed);
        play.run(10);
        assertEquals(OLD, play.serves);
        return play;
    }

    @Test
    void theOldServesUntilTheNewIsReadyAndThenLeaves() {
        Play play = serving(1);
        play.supervisor.want(NEW, OLD);
        play.run(2);
        assertEquals(OLD, play.serves);
        assertEquals(2, play.alive.size());
        play.run(30);
        assertEquals(NEW, play.serves);
        assertEquals(1, play.alive.size());
    }

    @Test
    void oneThatCrashesOrIsNeverReadyIsGivenUpAfterThreeTriesAndTheOldNeverStops() {
        for (Fate fate : new Fate[] {Fate.CRASHES, Fate.NEVER_READY}) {
            Play play = serving(2);
            play.fates.put(NEW, fate);
            play.supervisor.want(NEW, OLD);
            for (int i = 0; i < 300; i++) {
                play.run(1);
                assertTrue(play.alive.values().stream().anyMatch(p -> p.variant().equals(OLD)));
            }
            assertEquals(1, play.failed);
            assertEquals(4, play.starts, "one of the old, three tries of the new");
            assertEquals(OLD, play.supervisor.wanted());
        }
    }

    @Test
    void oneThatCrashesAfterSomeRequestsGivesWayToTheOldAgain() {
        Play play = serving(3);
        play.fates.put(NEW, Fate.CRASHES_LATER);
        play.supervisor.want(NEW, OLD);
        play.run(300);
        assertEquals(1, play.failed);
        assertEquals(OLD, play.serves);
    }

    @Test
    void withNothingToGoBackToItIsTriedForEverButNotInAHurry() {
        Play play = new Play(4);
        play.fates.put(OLD, Fate.CRASHES);
        play.run(3_600);
        assertTrue(play.starts > 100 && play.starts < 260, "starts in an hour: " + play.starts);
        play.fates.clear();
        play.run(60);
        assertEquals(OLD, play.serves);
        assertEquals(0, play.failed);
    }

    @Test
    void whatAnEarlierParentLeftIsTakenUpAndAHalfDoneHandOverIsEnded() {
        Play play = new Play(5);
        play.alive.put(
                play.supervisor.found(0, OLD), new Play.Process(OLD, -60 * SECOND, Long.MAX_VALUE));
        play.alive.put(play.supervisor.found(0, NEW), new Play.Process(NEW, 0, Long.MAX_VALUE));
        play.run(60);
        assertEquals(0, play.starts);
        assertEquals(OLD, play.serves);
        assertEquals(1, play.alive.size());
    }

    @Test
    void inDrawnHistoriesWhatIsWantedServesInTheEnd() {
        for (int seed = 0; seed < 300; seed++) {
            Play play = new Play(seed);
            for (int i = 0; i < 15; i++) {
                Variant variant = play.random.nextBoolean() ? OLD : NEW;
                switch (play.random.nextInt(4)) {
                    case 0 -> play.supervisor.want(variant, variant.equals(OLD) ? null : OLD);
                    case 1 -> play.fates.put(variant, Fate.values()[play.random.nextInt(4)]);
                    case 2 ->
                            play.alive.replaceAll( // the system kills all
                                    (n, p) ->
                                            new Play.Process(p.variant(), p.startedAt(), play.now));
                    default -> play.fates.clear();
                }
                play.run(play.random.nextInt(90));
            }
            play.fates.clear();
            play.run(200);
            assertEquals(play.supervisor.wanted(), play.serves, "seed " + seed);
            assertEquals(1, play.alive.size(), "seed " + seed);
            assertFalse(play.starts > 200, "seed " + seed);
        }
    }
}
