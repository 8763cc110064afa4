package loadbalancer.snapshot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import loadbalancer.ClassSnapshot;
import loadbalancer.EndpointSnapshot;
import loadbalancer.EndpointState;
import loadbalancer.LoadBalancerSnapshot;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Format of a snapshot, its age, and which files are rejected. */
class SnapshotFormatTest {
    static Snapshot snapshot(int servers, long savedMs) {
        List<ListedEndpoint> entries = new ArrayList<>();
        List<EndpointSnapshot> known = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(
                    new ListedEndpoint(
                            "srv-" + i,
                            "10.0." + i / 250 + "." + i % 250 + ":8080",
                            "zone-a",
                            "large",
                            i % 7,
                            i % 9 == 0 ? EndpointState.DRAINING : EndpointState.READY,
                            1.25,
                            1_767_225_600_000L + i));
            known.add(
                    new EndpointSnapshot(
                            "srv-" + i,
                            1_767_225_600_000_000L + i,
                            12_345,
                            -0.51234,
                            12.345,
                            41_234.5,
                            51_234,
                            5_123.4,
                            0.012345,
                            0,
                            1_000_000,
                            0.12345,
                            -1.5,
                            i % 30));
        }
        return new Snapshot(
                savedMs,
                "10.9.9.9:9500",
                77,
                150,
                entries,
                new LoadBalancerSnapshot(
                        1, 2, 3, 4, 5, 6, List.of(new ClassSnapshot("push", 12_000, 5)), known));
    }

    @Test
    void aWrittenSnapshotIsRead() throws InvalidSnapshotException {
        Snapshot snapshot = snapshot(3, 1_000);
        Snapshot back = SnapshotFormat.read(SnapshotFormat.write(snapshot));
        assertEquals(snapshot.listedEndpoints(), back.listedEndpoints());
        assertEquals(snapshot.policySnapshot().classes(), back.policySnapshot().classes());
        assertEquals(6, back.policySnapshot().requestsPerSecond());
        assertEquals(12.345, back.policySnapshot().endpoints().get(2).concurrencyLimit());
        assertEquals(
                1_767_225_600_000_002L,
                back.policySnapshot().endpoints().get(2).launchedAtMicros());
        assertEquals(150, back.discoverySilenceMillis());
    }

    @Test
    void tenThousandEndpointsStayBelowTwoMegabytes() throws InvalidSnapshotException {
        byte[] bytes = SnapshotFormat.write(snapshot(10_000, 1_000));
        assertTrue(bytes.length < 2_000_000, "bytes: " + bytes.length);
        assertEquals(10_000, SnapshotFormat.read(bytes).listedEndpoints().size());
        assertThrows(
                InvalidSnapshotException.class,
                () -> SnapshotFormat.write(snapshot(40_000, 1_000)));
    }

    /**
     * Cut off anywhere, or with one bit turned anywhere, it is refused in one line and never by a
     * crash.
     */
    @Test
    void aTornOrDamagedFileIsRejected() throws InvalidSnapshotException {
        byte[] good = SnapshotFormat.write(snapshot(3, 1_000));
        for (int i = 0; i < good.length; i++) {
            byte[] torn = Arrays.copyOf(good, i);
            assertEquals(
                    1,
                    assertThrows(InvalidSnapshotException.class, () -> SnapshotFormat.read(torn))
                            .getMessage()
                            .lines()
                            .count());
            byte[] turned = good.clone();
            turned[i] ^= 4;
            assertThrows(
                    InvalidSnapshotException.class, () -> SnapshotFormat.read(turned), "byte " + i);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "hello | not a snapshot of this program",
                "yewyoke-state 2 0 00000000^ | written in form 2",
                "yewyoke-state 1 5 00000000^abc | torn: 3 bytes where its first line says 5",
                "yewyoke-state 1 3 00000000^abc | damaged",
                "yewyoke-state 1 3 364b3fb7^abc | not understood"
            })
    void aForeignNewerOrBrokenFileIsRejectedWithItsReason(String text, String message) {
        byte[] bytes = text.replace("^", "\n").getBytes(StandardCharsets.US_ASCII);
        String said =
                assertThrows(InvalidSnapshotException.class, () -> SnapshotFormat.read(bytes))
                        .getMessage();
        assertTrue(said.startsWith(message), said);
    }

    @Test
    void anOversizedFileIsRejected() {
        byte[] large =
                Arrays.copyOf(
                        "yewyoke-state 1 ".getBytes(StandardCharsets.US_ASCII),
                        SnapshotFormat.MAX_BYTES + 1);
        assertTrue(
                assertThrows(InvalidSnapshotException.class, () -> SnapshotFormat.read(large))
                        .getMessage()
                        .startsWith("too large"));
    }

    @Test
    void ageIsByTheClocksOfBothMachinesAndAnHourIfTheClockIsWrong() {
        Snapshot snapshot = snapshot(1, 100_000);
        assertEquals(5_000, snapshot.ageMillis(105_000));
        assertEquals(5_150, snapshot.listAgeMillis(105_000));
        assertEquals(0, snapshot.ageMillis(99_000), "clocks differ a little");
        assertEquals(3_600_000, snapshot.ageMillis(50_000));
        assertTrue(snapshot.isFromTheFuture(50_000));
        assertFalse(snapshot.isFromTheFuture(99_000));
    }

    @Test
    void itsListIsPreferredIfItIsNewerOrTheOnlyOne() {
        Snapshot snapshot = snapshot(1, 100_000);
        assertTrue(snapshot.isFresherThan(76, false, "10.9.9.9:9500"));
        assertFalse(snapshot.isFresherThan(77, false, "10.9.9.9:9500"));
        assertFalse(
                snapshot.isFresherThan(3, false, "10.9.9.8:9500"),
                "versions of two services can't be compared");
        assertTrue(snapshot.isFresherThan(0, true, "10.9.9.8:9500"));
        assertFalse(snapshot(0, 1).isFresherThan(0, true, ""));
    }
}
