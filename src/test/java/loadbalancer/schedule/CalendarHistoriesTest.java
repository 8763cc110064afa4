package loadbalancer.schedule;

import static loadbalancer.schedule.VirtualFleet.SECOND;
import static loadbalancer.schedule.VirtualFleet.START;
import static loadbalancer.schedule.VirtualFleet.always;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import loadbalancer.schedule.VirtualFleet.Member;
import org.junit.jupiter.api.Test;

/** Drawn histories of files, loss, partitions, stops, restarts and jumps of clocks. */
class CalendarHistoriesTest {
    private static final int REVISIONS = 5;

    /** What clocks and the way of a statement may differ by. */
    private static final long SLACK = 60_000;

    /** Who was ever given which file, when: the truth to check by, apart from the program. */
    private final Map<Integer, Set<Member>> holders = new TreeMap<>();

    private final Map<Integer, Long> from = new TreeMap<>();
    private final Map<WeightSchedule, Integer> lastUsed = new HashMap<>();
    private long usesByRevision;

    @Test
    void noRevisionIsUsedUnagreedOrBeforeItIsDueAndInTheEndAllAgree() {
        int agreedAtTheEnd = 0;
        for (long seed = 0; seed < 15; seed++) {
            holders.clear();
            from.clear();
            VirtualFleet fleet = new VirtualFleet(seed, 7, 30 * SECOND);
            fleet.runFor(30 * SECOND);
            boolean keeps = seed % 3 > 0;
            draw(fleet, keeps);
            for (int i = 0; i < 2_000; i++) {
                fleet.runFor(200_000);
                for (Member m : fleet.members) {
                    if (m.stoppedUntil <= fleet.now) {
                        check(m, fleet.now, seed);
                    }
                }
            }
            fleet.loss = 0;
            fleet.cut.clear();
            fleet.runFor(90 * SECOND);
            // Without a state folder a restart may forget a vote that others have counted.
            assertTrue(
                    !keeps || fleet.factors().size() == 1, "seed " + seed + " " + fleet.factors());
            agreedAtTheEnd += fleet.factors().contains(1.0) ? 0 : 1;
        }
        assertTrue(
                agreedAtTheEnd > 6 && usesByRevision > 20_000,
                agreedAtTheEnd + " " + usesByRevision);
    }

    private void draw(VirtualFleet fleet, boolean keeps) {
        for (int r = 1; r <= REVISIONS; r++) {
            int revision = r;
            long due = START + SECOND * (40 + 60 * r + fleet.random.nextInt(60));
            from.put(r, due);
            holders.put(r, new HashSet<>());
            int chance = 4 + fleet.random.nextInt(7);
            for (Member m : fleet.members) {
                if (fleet.random.nextInt(10) < chance) {
                    fleet.at(
                            START + SECOND * (60 * r + fleet.random.nextInt(60)),
                            m,
                            () -> {
                                holders.get(revision).add(m);
                                m.give(always(revision, due, revision / 10.0));
                            });
                }
            }
        }
        for (int i = 0; i < 12; i++) {
            Member m = fleet.members.get(fleet.random.nextInt(7));
            int what = fleet.random.nextInt(5);
            int some = fleet.random.nextInt(127);
            fleet.at(
                    fleet.now + fleet.random.nextLong(400 * SECOND),
                    null,
                    () -> {
                        switch (what) {
                            case 0 -> {
                                m.stoppedUntil = 0;
                                m.restarted = true;
                                m.start(keeps ? m.calendar.kept() : SavedCalendar.NOTHING);
                            }
                            case 1 -> m.stoppedUntil = fleet.now + 20 * SECOND;
                            case 2 -> fleet.members.get(some % 2).jumped += 20 * SECOND;
                            case 3 -> fleet.loss = 0.3 - fleet.loss;
                            default -> part(fleet, some);
                        }
                    });
        }
    }

    private static void part(VirtualFleet fleet, int bits) {
        Set<Member> side = new HashSet<>();
        for (int i = 0; i < 7; i++) {
            if ((bits >> i & 1) == 1) {
                side.add(fleet.members.get(i));
            }
        }
        List<String> before = new ArrayList<>(fleet.cut);
        fleet.cut.clear();
        if (before.isEmpty()) {
            fleet.cutBetween(side);
        }
    }

    private void check(Member m, long now, long seed) {
        double factor = m.factor();
        if (factor == 1) {
            return;
        }
        int revision = (int) Math.round(factor * 10);
        usesByRevision++;
        assertTrue(holders.get(revision).size() >= 4, "seed " + seed + ": unagreed " + revision);
        // One that was restarted may know nobody's clock but its own.
        long slack = SLACK + (m.restarted ? Math.abs(m.skew + m.jumped) : 0);
        assertTrue(
                from.get(revision) <= now + slack,
                "seed " + seed + ": " + revision + " before it is due");
        // Whoever uses a later one knows that it is agreed; it goes back to an older one only after
        // a
        // restart.
        Integer last = lastUsed.put(m.calendar, revision);
        assertTrue(last == null || last <= revision, "seed " + seed + ": back to " + revision);
    }
}
