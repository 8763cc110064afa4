package loadbalancer.schedule;

import static loadbalancer.schedule.SimulatedCalendarFleet.SECOND;
import static loadbalancer.schedule.SimulatedCalendarFleet.START;
import static loadbalancer.schedule.SimulatedCalendarFleet.always;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Checks agreement in random sequences of new files, packet loss, partitions, suspended and
 * restarted processes and clock steps.
 */
class WeightScheduleHistoriesTest {
    private static final int REVISIONS = 5;

    /** Allowed difference between members, from clocks and network delays. */
    private static final long TOLERANCE_MICROS = 60_000;

    /** Members that have read a revision's file, by revision. */
    private final Map<Integer, Set<SimulatedCalendarMember>> voters = new TreeMap<>();

    private final Map<Integer, Long> effectiveFrom = new TreeMap<>();
    private final Map<WeightSchedule, Integer> lastUsed = new HashMap<>();
    private long usesByRevision;

    @Test
    void usesOnlyAgreedRevisionsThatAreDueAndFinallyAgrees() {
        int agreedAtTheEnd = 0;
        for (long seed = 0; seed < 15; seed++) {
            voters.clear();
            effectiveFrom.clear();
            SimulatedCalendarFleet fleet = new SimulatedCalendarFleet(seed, 7, 30 * SECOND);
            fleet.runFor(30 * SECOND);
            boolean savesState = seed % 3 > 0;
            scheduleRandomEvents(fleet, savesState);
            for (int i = 0; i < 2_000; i++) {
                fleet.runFor(200_000);
                for (SimulatedCalendarMember member : fleet.members) {
                    if (member.stoppedUntilMicros <= fleet.nowMicros) {
                        check(member, fleet.nowMicros, seed);
                    }
                }
            }
            fleet.lossRatio = 0;
            fleet.cutLinks.clear();
            fleet.runFor(90 * SECOND);
            // Without a state folder a restart may lose a vote that other members have counted.
            assertTrue(
                    !savesState || fleet.factors().size() == 1,
                    "seed " + seed + " " + fleet.factors());
            agreedAtTheEnd += fleet.factors().contains(1.0) ? 0 : 1;
        }
        assertTrue(
                agreedAtTheEnd > 6 && usesByRevision > 20_000,
                agreedAtTheEnd + " " + usesByRevision);
    }

    private void scheduleRandomEvents(SimulatedCalendarFleet fleet, boolean savesState) {
        for (int i = 1; i <= REVISIONS; i++) {
            int revision = i;
            long due = START + SECOND * (40 + 60 * revision + fleet.random.nextInt(60));
            effectiveFrom.put(revision, due);
            voters.put(revision, new HashSet<>());
            int chance = 4 + fleet.random.nextInt(7);
            for (SimulatedCalendarMember member : fleet.members) {
                if (fleet.random.nextInt(10) < chance) {
                    fleet.at(
                            START + SECOND * (60 * revision + fleet.random.nextInt(60)),
                            member,
                            () -> {
                                voters.get(revision).add(member);
                                member.setFile(always(revision, due, revision / 10.0));
                            });
                }
            }
        }
        for (int i = 0; i < 12; i++) {
            scheduleFault(fleet, savesState);
        }
    }

    private static void scheduleFault(SimulatedCalendarFleet fleet, boolean savesState) {
        SimulatedCalendarMember member = fleet.members.get(fleet.random.nextInt(7));
        int fault = fleet.random.nextInt(5);
        int memberBits = fleet.random.nextInt(127);
        fleet.at(
                fleet.nowMicros + fleet.random.nextLong(400 * SECOND),
                null,
                () -> {
                    switch (fault) {
                        case 0 -> {
                            member.stoppedUntilMicros = 0;
                            member.wasRestarted = true;
                            member.start(
                                    savesState ? member.schedule.toSaved() : SavedCalendar.EMPTY);
                        }
                        case 1 -> member.stoppedUntilMicros = fleet.nowMicros + 20 * SECOND;
                        case 2 -> fleet.members.get(memberBits % 2).clockStepMicros += 20 * SECOND;
                        case 3 -> fleet.lossRatio = 0.3 - fleet.lossRatio;
                        default -> togglePartition(fleet, memberBits);
                    }
                });
    }

    private static void togglePartition(SimulatedCalendarFleet fleet, int memberBits) {
        Set<SimulatedCalendarMember> side = new HashSet<>();
        for (int i = 0; i < 7; i++) {
            if ((memberBits >> i & 1) == 1) {
                side.add(fleet.members.get(i));
            }
        }
        List<String> before = new ArrayList<>(fleet.cutLinks);
        fleet.cutLinks.clear();
        if (before.isEmpty()) {
            fleet.partition(side);
        }
    }

    private void check(SimulatedCalendarMember member, long now, long seed) {
        double factor = member.factor();
        if (factor == 1) {
            return;
        }
        int revision = (int) Math.round(factor * 10);
        usesByRevision++;
        assertTrue(
                voters.get(revision).size() >= 4,
                "seed " + seed + ": revision is not agreed: " + revision);
        // A restarted member may know only its own clock.
        long toleranceMicros =
                TOLERANCE_MICROS
                        + (member.wasRestarted
                                ? Math.abs(member.clockErrorMicros + member.clockStepMicros)
                                : 0);
        assertTrue(
                effectiveFrom.get(revision) <= now + toleranceMicros,
                "seed " + seed + ": revision " + revision + " used before it is due");
        // Until it restarts, a member never returns to an earlier revision.
        Integer last = lastUsed.put(member.schedule, revision);
        assertTrue(
                last == null || last <= revision,
                "seed " + seed + ": returned to revision " + revision);
    }
}
