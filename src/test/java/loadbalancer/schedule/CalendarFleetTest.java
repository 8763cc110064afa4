package loadbalancer.schedule;

import static loadbalancer.schedule.VirtualFleet.SECOND;
import static loadbalancer.schedule.VirtualFleet.START;
import static loadbalancer.schedule.VirtualFleet.always;
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
import loadbalancer.schedule.VirtualFleet.Member;
import loadbalancer.schedule.VirtualFleet.Use;
import loadbalancer.schedule.agreement.Agreement;
import loadbalancer.schedule.window.CalendarFile;
import org.junit.jupiter.api.Test;

/** Many members in virtual time: what is agreed, and when all switch. */
class CalendarFleetTest {
    private static final long DUE = START + 120 * SECOND;
    private static final Set<Double> NEUTRAL = Set.of(1.0);

    private static VirtualFleet fleet(long seed, int holders, byte[] text) {
        VirtualFleet fleet = new VirtualFleet(seed, 12, 30 * SECOND);
        fleet.runFor(SECOND);
        give(fleet, 0, holders, text);
        return fleet;
    }

    private static void give(VirtualFleet fleet, int from, int to, byte[] text) {
        fleet.members.subList(from, to).forEach(m -> m.give(text));
    }

    private static long count(VirtualFleet fleet, String line) {
        return fleet.members.stream()
                .flatMap(m -> m.lines.stream())
                .filter(l -> l.contains(line))
                .count();
    }

    @Test
    void allSwitchAtOnceWithAThirdOfTheClocksOffByHalfAMinute() {
        List<Long> spreads = new ArrayList<>();
        for (long seed = 0; seed < 21; seed++) {
            VirtualFleet fleet = fleet(seed, 12, always(1, DUE, 0.5));
            fleet.loss = 0.1;
            fleet.runTo(DUE - SECOND);
            var switches = fleet.members.stream().mapToLong(Member::nextChange).summaryStatistics();
            spreads.add(switches.getMax() - switches.getMin());
            for (Member m : fleet.members) {
                for (long at = DUE - SECOND; at < DUE + SECOND; at += 7_000) {
                    fleet.at(at + fleet.random.nextLong(7_000), m, m::use);
                }
            }
            fleet.runTo(DUE + 2 * SECOND);
            for (Use use : fleet.uses) {
                if (Math.abs(use.at() - DUE) > 40_000) {
                    assertEquals(
                            use.at() < DUE ? 1 : 0.5,
                            use.factor(),
                            "seed " + seed + " " + (use.at() - DUE));
                }
            }
        }
        spreads.sort(null);
        assertTrue(spreads.get(10) <= 50_000 && spreads.get(10) > 0, spreads.toString());
    }

    @Test
    void aRevisionThatHalfTheRosterHoldsIsNotUsed() {
        VirtualFleet fleet = fleet(1, 6, always(1, DUE, 0.5));
        fleet.runTo(DUE + 300 * SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        fleet.members.get(11).give(always(1, DUE, 0.5));
        fleet.runFor(10 * SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
    }

    @Test
    void thoseWithoutTheFileGetTheAgreedText() {
        VirtualFleet fleet = fleet(2, 7, always(1, DUE, 0.5));
        fleet.runTo(DUE - SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        fleet.runTo(DUE + SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
        fleet.runFor(20 * SECOND);
        // Once all have it nobody passes it on any more.
        assertTrue(
                fleet.members.stream()
                        .flatMap(m -> m.documents(0, "calendar/text").values().stream())
                        .allMatch(d -> d.body().length == 0));
    }

    @Test
    void agreedWindowsGoOnByTheClockWithoutAnyTalk() {
        VirtualFleet fleet =
                fleet(
                        3,
                        12,
                        VirtualFleet.text(
                                1, START, 0.5, "2027-01-15T08:10:00", "FREQ=HOURLY", "PT10M"));
        fleet.runFor(60 * SECOND);
        fleet.loss = 1;
        long begin = START + 600 * SECOND;
        fleet.runTo(begin - SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        fleet.runTo(begin + SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
        fleet.runTo(begin + 3_600 * SECOND + 300 * SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
    }

    @Test
    void theSmallerSideOfAPartitionUsesNoNewOneAndLeavesTheOldOneWhenItsLeaseIsOut() {
        VirtualFleet fleet = fleet(4, 12, always(1, START, 0.5));
        fleet.runFor(60 * SECOND);
        fleet.cutBetween(new HashSet<>(fleet.members.subList(0, 5)));
        give(fleet, 0, 12, always(2, DUE, 0.2));
        fleet.runTo(DUE + 60 * SECOND);
        assertTrue(fleet.members.subList(5, 12).stream().allMatch(m -> m.factor() == 0.2));
        assertTrue(fleet.members.subList(0, 5).stream().allMatch(m -> m.factor() == 0.5));
        assertEquals(5, count(fleet, "can't be told; goes on by 1"));
        fleet.runTo(DUE + Agreement.LEASE + SECOND);
        assertTrue(fleet.members.subList(0, 5).stream().allMatch(m -> m.factor() == 1));
        fleet.cut.clear();
        fleet.runFor(20 * SECOND);
        assertEquals(Set.of(0.2), fleet.factors());
    }

    @Test
    void noneIsUsedWhereHalfHoldOneContentAndHalfAnotherUnderOneNumber() {
        VirtualFleet fleet = fleet(5, 6, always(1, DUE, 0.5));
        give(fleet, 6, 12, always(1, DUE, 0.2));
        fleet.runTo(DUE + 60 * SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        assertEquals(12, count(fleet, "revision 1 is held with different content"));
        give(fleet, 0, 12, always(1, DUE, 0.3));
        assertEquals(12, count(fleet, "a change needs a higher number"));
        give(fleet, 0, 12, always(2, DUE, 0.4));
        fleet.runFor(10 * SECOND);
        assertEquals(Set.of(0.4), fleet.factors());
    }

    @Test
    void theContentOfTheMajorityCountsUnderOneNumber() {
        VirtualFleet fleet = fleet(6, 5, always(1, DUE, 0.5));
        give(fleet, 5, 12, always(1, DUE, 0.2));
        fleet.runTo(DUE + SECOND);
        assertEquals(Set.of(0.2), fleet.factors());
    }

    @Test
    void revokedItEndsAtOnceAndOnesToComeNeverBegin() {
        VirtualFleet fleet = fleet(7, 12, always(1, START, 0.5));
        fleet.runFor(60 * SECOND);
        give(fleet, 0, 12, always(2, DUE, 0.2));
        String revoke =
                "revision = 3\nfrom = 2030-01-01T00:00:00Z\nrevoke = [\""
                        + CalendarFile.digest(always(2, DUE, 0.2))
                        + "\"]\n";
        fleet.runTo(DUE + SECOND);
        assertEquals(Set.of(0.2), fleet.factors());
        fleet.members.get(3).give(revoke.getBytes(StandardCharsets.UTF_8));
        fleet.runFor(10 * SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        assertEquals(12, count(fleet, "revision 2 is revoked"));
    }

    @Test
    void oneThatWasStoppedOverTheSwitchUsesNothingOldWhenItWakes() {
        for (long seed = 0; seed < 8; seed++) {
            VirtualFleet fleet = fleet(seed, 12, always(1, DUE, 0.5));
            fleet.runTo(DUE - 2 * SECOND);
            Member stopped = fleet.members.get((int) seed % 12);
            stopped.use();
            stopped.stoppedUntil = DUE + SECOND / 10 + fleet.random.nextLong(20 * SECOND);
            fleet.at(DUE - SECOND, stopped, stopped::use);
            fleet.runTo(stopped.stoppedUntil + SECOND);
            assertEquals(List.of(1.0, 0.5), fleet.uses.stream().map(Use::factor).toList());
        }
    }

    @Test
    void restartedInsideAWindowAllComeBackToItFromFilesOrFromWhatTheyKept() throws IOException {
        VirtualFleet fleet = fleet(8, 12, always(1, START, 0.5));
        fleet.runFor(60 * SECOND);
        fleet.members.forEach(m -> m.start(SavedCalendar.NOTHING));
        assertEquals(NEUTRAL, fleet.factors());
        fleet.runFor(30 * SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
        fleet.loss = 1;
        for (Member m : fleet.members) {
            m.start(SavedCalendar.read(m.calendar.kept().bytes()));
        }
        fleet.runFor(30 * SECOND);
        // Alone, each goes by its own clock: this window is in force whatever that shows.
        assertEquals(Set.of(0.5), fleet.factors());
    }

    @Test
    void aLiarBringsNothingAboutAlone() {
        VirtualFleet fleet = new VirtualFleet(9, 12, 30 * SECOND);
        Member liar =
                fleet.members.get(0); // the first by name: others leave it to it to offer texts
        liar.give(always(9, START, 10));
        liar.publish(0, "calendar/text", always(9, START, 10));
        fleet.runFor(SECOND);
        give(fleet, 1, 11, always(1, START, 0.5));
        fleet.runFor(60 * SECOND);
        fleet.members.get(4).start(SavedCalendar.NOTHING);
        fleet.runFor(60 * SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
        liar.publish(0, "calendar/holds", new byte[] {(byte) 0x9f, 0x7f, 1, 2});
        fleet.runFor(10 * SECOND);
        assertEquals(11, count(fleet, "what m10 says of the calendar can't be read"));
    }

    @Test
    void whoVotesForTwoContentsUnderOneNumberVotesForNone() throws IOException {
        VirtualFleet fleet = fleet(12, 6, always(1, DUE, 0.5));
        give(fleet, 6, 11, always(1, DUE, 0.2));
        Member liar = fleet.members.get(11);
        ObjectMapper cbor = new ObjectMapper(new CBORFactory());
        ObjectNode both = cbor.createObjectNode();
        for (double content : new double[] {0.5, 0.2}) {
            both.withArray("holds")
                    .addArray()
                    .add(1)
                    .add(DUE)
                    .add(CalendarFile.digest(always(1, DUE, content)));
        }
        liar.publish(0, "calendar/holds", cbor.writeValueAsBytes(both));
        fleet.runTo(DUE + SECOND);
        assertEquals(NEUTRAL, fleet.factors());
    }

    @Test
    void whatWasKeptIsReadOrRefused() {
        byte[] whole = new SavedCalendar(List.of(always(1, START, 0.5)), List.of()).bytes();
        for (int i = 0; i < whole.length; i++) {
            byte[] cut = Arrays.copyOf(whole, i);
            assertThrows(IOException.class, () -> SavedCalendar.read(cut));
        }
        VirtualFleet fleet = new VirtualFleet(11, 3, 0);
        fleet.members.get(0).start(new SavedCalendar(List.of(new byte[] {1, 2}), List.of()));
        assertEquals(1, count(fleet, "kept calendar line 1: "));
    }

    @Test
    void aJumpOfAClockMovesNoSwitch() {
        VirtualFleet fleet = fleet(10, 12, always(1, DUE, 0.5));
        fleet.runTo(DUE - 30 * SECOND);
        fleet.members.get(7).jumped = 25 * SECOND;
        fleet.runTo(DUE - SECOND);
        assertEquals(NEUTRAL, fleet.factors());
        fleet.runTo(DUE + SECOND);
        assertEquals(Set.of(0.5), fleet.factors());
    }
}
