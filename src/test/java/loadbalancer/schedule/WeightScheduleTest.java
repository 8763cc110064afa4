package loadbalancer.schedule;

import static loadbalancer.schedule.SimulatedCalendarFleet.SECOND;
import static loadbalancer.schedule.SimulatedCalendarFleet.START;
import static loadbalancer.schedule.SimulatedCalendarFleet.always;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.schedule.SimulatedCalendarFleet.Use;
import loadbalancer.schedule.agreement.RevisionAgreement;
import loadbalancer.schedule.window.CalendarFile;
import org.junit.jupiter.api.Test;

/** Checks in simulated fleets which revisions are agreed and when members switch to them. */
class WeightScheduleTest {
    private static final long DUE = START + 120 * SECOND;
    private static final Set<Double> NEUTRAL = Set.of(1.0);

    private static SimulatedCalendarFleet fleet(long seed, int voters, byte[] text) {
        SimulatedCalendarFleet fleet = new SimulatedCalendarFleet(seed, 12, 30 * SECOND);
        fleet.runFor(SECOND);
        setFile(fleet, 0, voters, text);
        return fleet;
    }

    private static void setFile(SimulatedCalendarFleet fleet, int from, int to, byte[] text) {
        fleet.members.subList(from, to).forEach(member -> member.setFile(text));
    }

    private static long count(SimulatedCalendarFleet fleet, String line) {
        return fleet.members.stream()
                .flatMap(member -> member.logLines.stream())
                .filter(logged -> logged.contains(line))
                .count();
    }

    @Test
    void membersSwitchSimultaneouslyWithAThirdOfTheClocksWrong() {
        List<Long> spreads = new ArrayList<>();
        for (long seed = 0; seed < 21; seed++) {
            SimulatedCalendarFleet fleet = fleet(seed, 12, always(1, DUE, 0.5));
            fleet.lossRatio = 0.1;
            fleet.runTo(DUE - SECOND);
            var switches =
                    fleet.members.stream()
                            .mapToLong(SimulatedCalendarMember::nextChangeMicros)
                            .summaryStatistics();
            spreads.add(switches.getMax() - switches.getMin());
            for (SimulatedCalendarMember member : fleet.members) {
                for (long at = DUE - SECOND; at < DUE + SECOND; at += 7_000) {
                    fleet.at(at + fleet.random.nextLong(7_000), member, member::use);
                }
            }
            fleet.runTo(DUE + 2 * SECOND);
            for (Use use : fleet.uses) {
                if (Math.abs(use.atMicros() - DUE) > 40_000) {
                    assertEquals(
                            use.atMicros() < DUE ? 1 : 0.5,
                            use.factor(),
                            "seed " + seed + " " + (use.atMicros() - DUE));
                }
            }
        }
        spreads.sort(null);
        assertTrue(spreads.get(10) <= 50_000 && spreads.get(10) > 0, spreads.toString());
    }

    @Test
    void doesNotUseRevisionThatOnlyHalfOfTheRosterVotesFor() {
        SimulatedCalendarFleet fleet = fleet(1, 6, always(1, DUE, 0.5));
        fleet.runTo(DUE + 300 * SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        fleet.members.get(11).setFile(always(1, DUE, 0.5));
        fleet.runFor(10 * SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
    }

    @Test
    void membersWithoutTheFileReceiveTheAgreedText() {
        SimulatedCalendarFleet fleet = fleet(2, 7, always(1, DUE, 0.5));
        fleet.runTo(DUE - SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        fleet.runTo(DUE + SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
        fleet.runFor(20 * SECOND);
        // Once all members have the text, none offers it any more.
        assertTrue(
                fleet.members.stream()
                        .flatMap(member -> member.documents(0, "calendar/text").values().stream())
                        .allMatch(document -> document.body().length == 0));
    }

    @Test
    void appliesAgreedWindowsWithoutCommunication() {
        SimulatedCalendarFleet fleet =
                fleet(
                        3,
                        12,
                        SimulatedCalendarFleet.text(
                                1, START, 0.5, "2027-01-15T08:10:00", "FREQ=HOURLY", "PT10M"));
        fleet.runFor(60 * SECOND);
        fleet.lossRatio = 1;
        long begin = START + 600 * SECOND;
        fleet.runTo(begin - SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        fleet.runTo(begin + SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
        fleet.runTo(begin + 3_600 * SECOND + 300 * SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
    }

    @Test
    void minorityKeepsOldRevisionUntilItsLeaseExpires() {
        SimulatedCalendarFleet fleet = fleet(4, 12, always(1, START, 0.5));
        fleet.runFor(60 * SECOND);
        fleet.partition(new HashSet<>(fleet.members.subList(0, 5)));
        setFile(fleet, 0, 12, always(2, DUE, 0.2));
        fleet.runTo(DUE + 60 * SECOND);
        assertTrue(
                fleet.members.subList(5, 12).stream().allMatch(member -> member.factor() == 0.2));
        assertTrue(fleet.members.subList(0, 5).stream().allMatch(member -> member.factor() == 0.5));
        assertEquals(5, count(fleet, "revision 1 stays in effect"));
        fleet.runTo(DUE + RevisionAgreement.LEASE_MICROS + SECOND);
        assertTrue(fleet.members.subList(0, 5).stream().allMatch(member -> member.factor() == 1));
        fleet.cutLinks.clear();
        fleet.runFor(20 * SECOND);
        assertEquals(Set.of(0.2), fleet.factors());
    }

    @Test
    void usesNoRevisionWhenVotesForContentsAreTied() {
        SimulatedCalendarFleet fleet = fleet(5, 6, always(1, DUE, 0.5));
        setFile(fleet, 6, 12, always(1, DUE, 0.2));
        fleet.runTo(DUE + 60 * SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        assertEquals(12, count(fleet, "revision 1 has votes for different contents"));
        setFile(fleet, 0, 12, always(1, DUE, 0.3));
        assertEquals(12, count(fleet, "a change needs a higher revision number"));
        setFile(fleet, 0, 12, always(2, DUE, 0.4));
        fleet.runFor(10 * SECOND);
        assertEquals(Set.of(0.4), fleet.factors());
    }

    @Test
    void usesContentOfTheMajorityAmongContentsWithOneNumber() {
        SimulatedCalendarFleet fleet = fleet(6, 5, always(1, DUE, 0.5));
        setFile(fleet, 5, 12, always(1, DUE, 0.2));
        fleet.runTo(DUE + SECOND);
        assertEquals(Set.of(0.2), fleet.factors());
    }

    @Test
    void revokedRevisionEndsImmediatelyAndPermanently() {
        SimulatedCalendarFleet fleet = fleet(7, 12, always(1, START, 0.5));
        fleet.runFor(60 * SECOND);
        setFile(fleet, 0, 12, always(2, DUE, 0.2));
        String revoke =
                "revision = 3\nfrom = 2030-01-01T00:00:00Z\nrevoke = [\""
                        + CalendarFile.digest(always(2, DUE, 0.2))
                        + "\"]\n";
        fleet.runTo(DUE + SECOND);
        assertEquals(Set.of(0.2), fleet.factors());
        fleet.members.get(3).setFile(revoke.getBytes(StandardCharsets.UTF_8));
        fleet.runFor(10 * SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        assertEquals(12, count(fleet, "revision 2 is revoked"));
    }

    @Test
    void memberSuspendedDuringTheSwitchUsesNewFactorAfterResuming() {
        for (long seed = 0; seed < 8; seed++) {
            SimulatedCalendarFleet fleet = fleet(seed, 12, always(1, DUE, 0.5));
            fleet.runTo(DUE - 2 * SECOND);
            SimulatedCalendarMember stopped = fleet.members.get((int) seed % 12);
            stopped.use();
            stopped.stoppedUntilMicros = DUE + SECOND / 10 + fleet.random.nextLong(20 * SECOND);
            fleet.at(DUE - SECOND, stopped, stopped::use);
            fleet.runTo(stopped.stoppedUntilMicros + SECOND);
            assertEquals(List.of(1.0, 0.5), fleet.uses.stream().map(Use::factor).toList());
        }
    }

    @Test
    void restoresActiveWindowAfterRestartFromFilesOrSavedState() throws IOException {
        SimulatedCalendarFleet fleet = fleet(8, 12, always(1, START, 0.5));
        fleet.runFor(60 * SECOND);
        fleet.members.forEach(member -> member.start(SavedCalendar.EMPTY));
        assertEquals(NEUTRAL, fleet.factors());
        fleet.runFor(30 * SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
        fleet.lossRatio = 1;
        for (SimulatedCalendarMember member : fleet.members) {
            member.start(SavedCalendar.decode(member.schedule.toSaved().encode()));
        }
        fleet.runFor(30 * SECOND);
        // Isolated members use their own clocks; this window is in effect at any time.
        assertEquals(Set.of(0.5), fleet.factors());
    }

    @Test
    void singleByzantineMemberHasNoEffect() {
        SimulatedCalendarFleet fleet = new SimulatedCalendarFleet(9, 12, 30 * SECOND);
        SimulatedCalendarMember byzantine =
                fleet.members.get(0); // first by name, so it offers texts
        byzantine.setFile(always(9, START, 10));
        byzantine.publish(0, "calendar/text", always(9, START, 10));
        fleet.runFor(SECOND);
        setFile(fleet, 1, 11, always(1, START, 0.5));
        fleet.runFor(60 * SECOND);
        fleet.members.get(4).start(SavedCalendar.EMPTY);
        fleet.runFor(60 * SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
        byzantine.publish(0, "calendar/holds", new byte[] {(byte) 0x9f, 0x7f, 1, 2});
        fleet.runFor(10 * SECOND);
        assertEquals(11, count(fleet, "calendar statement of member m10 cannot be decoded"));
    }

    @Test
    void ignoresVotesOfMemberForTwoContentsWithOneNumber() throws IOException {
        SimulatedCalendarFleet fleet = fleet(12, 6, always(1, DUE, 0.5));
        setFile(fleet, 6, 11, always(1, DUE, 0.2));
        SimulatedCalendarMember byzantine = fleet.members.get(11);
        ObjectMapper cbor = new ObjectMapper(new CBORFactory());
        ObjectNode both = cbor.createObjectNode();
        for (double content : new double[] {0.5, 0.2}) {
            both.withArray("holds")
                    .addArray()
                    .add(1)
                    .add(DUE)
                    .add(CalendarFile.digest(always(1, DUE, content)));
        }
        byzantine.publish(0, "calendar/holds", cbor.writeValueAsBytes(both));
        fleet.runTo(DUE + SECOND);
        assertEquals(NEUTRAL, fleet.factors());
    }

    @Test
    void rejectsTruncatedSavedCalendarAndLogsInvalidText() {
        byte[] encoded = new SavedCalendar(List.of(always(1, START, 0.5)), List.of()).encode();
        for (int i = 0; i < encoded.length; i++) {
            byte[] cut = Arrays.copyOf(encoded, i);
            assertThrows(IOException.class, () -> SavedCalendar.decode(cut));
        }
        SimulatedCalendarFleet fleet = new SimulatedCalendarFleet(11, 3, 0);
        fleet.members.get(0).start(new SavedCalendar(List.of(new byte[] {1, 2}), List.of()));
        assertEquals(1, count(fleet, "saved calendar line 1: "));
    }

    @Test
    void wallClockStepDoesNotChangeTheSwitchTime() {
        SimulatedCalendarFleet fleet = fleet(10, 12, always(1, DUE, 0.5));
        fleet.runTo(DUE - 30 * SECOND);
        fleet.members.get(7).clockStepMicros = 25 * SECOND;
        fleet.runTo(DUE - SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        fleet.runTo(DUE + SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
    }
}
