package loadbalancer.rollout.stage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.rollout.plan.InvalidPlanException;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.stage.History.Machine;
import org.junit.jupiter.api.Test;

/**
 * A change at 5 to 12 members between which all may fail; {@link History} checks the promises each
 * second.
 */
class RolloutTest {
    private static boolean halted(History h, Plan plan) {
        return h.machines.keySet().stream()
                .anyMatch(n -> HaltFlags.up(h.net.links.get(n), plan.key()));
    }

    private static boolean allRun(History h, String key) {
        return h.machines.values().stream()
                .allMatch(m -> m.runs.equals(key) && m.becoming.isEmpty());
    }

    private static long changed(History h) {
        return h.machines.values().stream().filter(m -> !m.runs.isEmpty()).count();
    }

    private static History begun(long seed, int members) {
        History h = new History(seed, members);
        h.run(15);
        return h;
    }

    @Test
    void aChangeThatIsAsGoodReachesAll() throws Exception {
        History h = begun(1, 10);
        Plan plan = h.give("b3", "good", 1);
        h.run(1_000);
        assertTrue(allRun(h, plan.key()), h.machines.get("b0").rollout.state());
        assertEquals(1, h.machines.get("b0").rollout.finished());
    }

    @Test
    void oneThatFailsInTwentyIsStoppedInItsFirstStageAndAllGoBack() throws Exception {
        History h = begun(2, 10);
        h.newServes = 0.92;
        Plan plan = h.give("b3", "bad", 1);
        int most = 0;
        for (int i = 0; i < 800; i++) {
            h.run(1);
            most = Math.max(most, (int) changed(h));
        }
        assertEquals(2, most);
        assertTrue(halted(h, plan));
        assertTrue(allRun(h, ""));
    }

    @Test
    void aSuccessorThatCrashesAtItsStartHaltsTheChange() throws Exception {
        History h = begun(3, 6);
        h.machines.values().forEach(m -> m.broken = true);
        Plan plan = h.give("b3", "broken", 1);
        h.run(400);
        assertTrue(halted(h, plan));
        assertTrue(allRun(h, ""));
    }

    @Test
    void figuresLostOfTheNewOnlyMeanWaitAndThenStop() throws Exception {
        History h = begun(4, 10);
        Plan plan = h.give("b3", "silent", 1);
        for (int i = 0; i < 500; i++) {
            h.run(1);
            h.machines.values().forEach(m -> m.silent = !m.runs.isEmpty());
        }
        assertFalse(halted(h, plan));
        assertEquals(2, changed(h));
        h.run(300);
        assertTrue(halted(h, plan));
        assertTrue(allRun(h, ""));
    }

    @Test
    void aDigestThatDoesNotFitOnOneMachineStartsNothingAnywhere() throws Exception {
        History h = begun(5, 6);
        h.machines.get("b5").digest = "";
        Plan plan = h.give("b3", "other", 1);
        h.run(390);
        assertEquals(
                0, h.machines.values().stream().mapToInt(m -> m.rollout.stage()).max().orElse(9));
        h.run(60);
        assertTrue(halted(h, plan), "waits and then stops");
    }

    @Test
    void whoWasCutOffOrDeadGoesBackWhenItHearsOfTheHalt() throws Exception {
        History h = begun(6, 10);
        Plan plan = h.give("b3", "late", 1);
        for (int i = 0; i < 900 && changed(h) < 4; i++) {
            h.run(1);
        }
        List<Machine> changed =
                h.machines.values().stream().filter(m -> !m.runs.isEmpty()).toList();
        changed.get(0).kill();
        changed.get(1).stop(true);
        h.net.sides.put(changed.get(2).name, 1);
        HaltFlags.raise(h.net.links.get(changed.get(3).name), 0, plan.key(), "an operator's");
        h.run(60);
        assertEquals("", changed.get(3).runs);
        assertEquals(3, changed(h));
        h.heal();
        h.run(60);
        assertTrue(allRun(h, ""));
    }

    @Test
    void cutOffForLongOneGoesBackByItself() throws Exception {
        History h = begun(7, 10);
        Plan plan = h.give("b3", "away", 1);
        for (int i = 0; i < 300 && changed(h) == 0; i++) {
            h.run(1);
        }
        Machine changed =
                h.machines.values().stream().filter(m -> !m.runs.isEmpty()).findFirst().get();
        h.net.sides.put(changed.name, 1);
        h.run(450);
        assertEquals("", changed.runs);
        assertFalse(
                HaltFlags.up(h.net.links.get(changed.name), plan.key()),
                "its own trouble halts nobody");
    }

    @Test
    void ofTwoPlansTheLowerWinsEverywhereAndTheOtherIsHaltedAndReported() throws Exception {
        History h = begun(8, 8);
        Plan higher = h.give("b1", "two", 2);
        Plan lower = h.give("b6", "one", 1);
        assertTrue(
                assertThrows(
                                InvalidPlanException.class,
                                () -> {
                                    h.run(40);
                                    h.give("b4", "three", 3);
                                })
                        .getMessage()
                        .contains("plan one, number 1 is under way"));
        assertTrue(halted(h, higher));
        h.run(1_000);
        assertTrue(allRun(h, lower.key()));
        assertTrue(
                h.machines.get("b4").lines.stream()
                        .anyMatch(l -> l.startsWith("plan two, number 2 is")));
    }

    /** Half of the fleet is a majority nowhere, however often one of them says the same. */
    @Test
    void votesCountOnceAndOnlyOfThoseWhoseWordCounts() {
        FakeFleet net = new FakeFleet(List.of("a", "b", "c", "d"), new java.util.Random(9));
        var a = net.links.get("a");
        byte[] yes =
                new Statement(1, Statement.Phase.OLD, true, Statement.Fits.YES, 0, Map.of())
                        .bytes();
        for (String name : List.of("a", "b", "b", "b")) {
            net.links.get(name).publish(0, Votes.topic("k"), yes);
        }
        for (long t = 0; t < 60_000_000; t += 1_000_000) {
            net.step(t);
        }
        assertEquals(0, new Votes(a, "k").look(0).opened(3));
        net.links.get("c").publish(0, Votes.topic("k"), yes);
        for (long t = 60_000_000; t < 120_000_000; t += 1_000_000) {
            net.step(t);
        }
        assertEquals(1, new Votes(a, "k").look(0).opened(3));
        net.contested.add("b");
        assertEquals(0, new Votes(a, "k").look(0).opened(3));
    }

    @Test
    void whatOthersSayIsReadOrPassedOverButNeverThrows() {
        java.util.Random random = new java.util.Random(10);
        Statement said =
                new Statement(3, Statement.Phase.NEW, true, Statement.Fits.YES, 7, Map.of("b", 9L));
        byte[] good = said.bytes();
        assertEquals(said, Statement.of(good));
        for (int i = 0; i < 20_000; i++) {
            byte[] bad = good.clone();
            for (int j = random.nextInt(4); j >= 0; j--) {
                bad[random.nextInt(bad.length)] = (byte) random.nextInt();
            }
            Statement.of(java.util.Arrays.copyOf(bad, random.nextInt(bad.length + 1)));
        }
        assertEquals(null, Statement.of(new byte[5_000]));
    }

    @Test
    void thePromisesHoldInDrawnHistories() throws Exception {
        Set<String> ends = new TreeSet<>();
        int begun = 0;
        for (int seed = 1; seed <= 24; seed++) {
            History h = drawn(seed);
            h.heal();
            for (int i = 0; i < 40 && !settled(h); i++) {
                h.run(60);
            }
            assertTrue(settled(h), "seed " + seed + ": " + h.states());
            ends.add(h.machines.get("b4").runs.isEmpty() ? "old" : "new");
            begun += h.plans.values().stream().mapToLong(p -> h.passed(p, 1)).sum() > 0 ? 1 : 0;
        }
        assertEquals(Set.of("old", "new"), ends);
        assertTrue(begun > 12, "most get as far as a first stage: " + begun);
    }

    /** Whether one plan is done at all, or none is under way and none runs any. */
    private static boolean settled(History h) {
        String runs = h.machines.get("b4").runs;
        return h.machines.values().stream().allMatch(m -> m.liar || m.runs.equals(runs))
                && h.machines.values().stream()
                        .map(m -> m.rollout.state())
                        .allMatch(
                                s ->
                                        s.equals("no plan")
                                                || !runs.isEmpty() && s.endsWith(": done"));
    }

    private static History drawn(long seed) throws InvalidPlanException {
        History h = begun(seed, 5 + (int) (seed % 8));
        List<Machine> all = new ArrayList<>(h.machines.values());
        h.give("b1", "drawn", 2);
        if (h.random.nextInt(4) == 0) {
            h.give("b2", "twin", 1);
        }
        if (h.random.nextInt(3) == 0) {
            all.get(0).liar = true;
        }
        if (h.random.nextInt(3) == 0) {
            h.newServes = 0.90;
        }
        if (h.random.nextInt(6) == 0) {
            all.get(h.random.nextInt(all.size())).broken = true;
        }
        h.run(h.random.nextInt(300));
        for (int i = 0; i < 12; i++) {
            Machine m = all.get(h.random.nextInt(all.size()));
            switch (h.random.nextInt(8)) {
                case 0 -> h.part(1 + h.random.nextInt(all.size() - 1));
                case 1 -> h.heal();
                case 2, 3 -> m.kill();
                case 4 -> m.stop(m.up());
                case 5 -> h.net.loss = 0.3;
                case 6 -> {
                    if (!m.up() && !m.stopped) {
                        m.restart(h.random.nextBoolean());
                    }
                }
                default -> h.net.sides.clear();
            }
            h.run(h.random.nextInt(60));
        }
        return h;
    }
}
