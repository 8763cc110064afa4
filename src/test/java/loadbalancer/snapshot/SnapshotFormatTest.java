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

/** Tests the snapshot format, the age of a snapshot and the rejection of invalid files. */
class SnapshotFormatTest {
    static Snapshot snapshot(int endpointCount, long savedAtMillis) {
        List<ListedEndpoint> listed = new ArrayList<>();
        List<EndpointSnapshot> measured = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            listed.add(
                    new ListedEndpoint(
                            "srv-" + i,
                            "10.0." + i / 250 + "." + i % 250 + ":8080",
                            "zone-a",
                            "large",
                            i % 7,
                            i % 9 == 0 ? EndpointState.DRAINING : EndpointState.READY,
                            1.25,
                            1_767_225_600_000L + i));
            measured.add(
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
                savedAtMillis,
                "10.9.9.9:9500",
                77,
                150,
                listed,
                new LoadBalancerSnapshot(
                        1, 2, 3, 4, 5, 6, List.of(new ClassSnapshot("push", 12_000, 5)), measured));
    }

    @Test
    void readsWhatWasWritten() throws InvalidStoredFileException {
        Snapshot snapshot = snapshot(3, 1_000);
        Snapshot copy = SnapshotFormat.read(SnapshotFormat.write(snapshot));
        assertEquals(snapshot.listedEndpoints(), copy.listedEndpoints());
        assertEquals(snapshot.policySnapshot().classes(), copy.policySnapshot().classes());
        assertEquals(6, copy.policySnapshot().requestsPerSecond());
        assertEquals(12.345, copy.policySnapshot().endpoints().get(2).concurrencyLimit());
        assertEquals(
                1_767_225_600_000_002L,
                copy.policySnapshot().endpoints().get(2).launchedAtMicros());
        assertEquals(150, copy.discoverySilenceMillis());
    }

    @Test
    void writesTenThousandEndpointsBelowTwoMegabytes() throws InvalidStoredFileException {
        byte[] bytes = SnapshotFormat.write(snapshot(10_000, 1_000));
        assertTrue(bytes.length < 2_000_000, "bytes: " + bytes.length);
        assertEquals(10_000, SnapshotFormat.read(bytes).listedEndpoints().size());
        assertThrows(
                InvalidStoredFileException.class,
                () -> SnapshotFormat.write(snapshot(40_000, 1_000)));
    }

    /**
     * Truncating the file at any byte, or flipping a bit of any byte, leads to a rejection with a
     * message of one line and never to another exception.
     */
    @Test
    void rejectsTruncatedOrCorruptFile() throws InvalidStoredFileException {
        byte[] good = SnapshotFormat.write(snapshot(3, 1_000));
        for (int i = 0; i < good.length; i++) {
            byte[] torn = Arrays.copyOf(good, i);
            assertEquals(
                    1,
                    assertThrows(InvalidStoredFileException.class, () -> SnapshotFormat.read(torn))
                            .getMessage()
                            .lines()
                            .count());
            byte[] corrupt = good.clone();
            corrupt[i] ^= 4;
            assertThrows(
                    InvalidStoredFileException.class,
                    () -> SnapshotFormat.read(corrupt),
                    "byte " + i);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "hello | not a snapshot of this program",
                "yewyoke-state 2 0 00000000^ | of format version 2; this program reads version 1",
                "yewyoke-state 1 5 00000000^abc | torn: 3 bytes of payload where the header says 5",
                "yewyoke-state 1 3 00000000^abc | damaged",
                "yewyoke-state 1 3 364b3fb7^abc | malformed:"
            })
    void rejectsForeignNewerOrCorruptFileWithReason(String text, String expected) {
        byte[] bytes = text.replace("^", "\n").getBytes(StandardCharsets.US_ASCII);
        String message =
                assertThrows(InvalidStoredFileException.class, () -> SnapshotFormat.read(bytes))
                        .getMessage();
        assertTrue(message.startsWith(expected), message);
    }

    @Test
    void rejectsOversizedFile() {
        byte[] large =
                Arrays.copyOf(
                        "yewyoke-state 1 ".getBytes(StandardCharsets.US_ASCII),
                        SnapshotFormat.MAX_BYTES + 1);
        assertTrue(
                assertThrows(InvalidStoredFileException.class, () -> SnapshotFormat.read(large))
                        .getMessage()
                        .startsWith("too large"));
    }

    @Test
    void computesAgeByBothClocksAndAssumesOneHourIfClockIsWrong() {
        Snapshot snapshot = snapshot(1, 100_000);
        assertEquals(5_000, snapshot.ageMillis(105_000));
        assertEquals(5_150, snapshot.listAgeMillis(105_000));
        assertEquals(0, snapshot.ageMillis(99_000), "within the clock tolerance");
        assertEquals(3_600_000, snapshot.ageMillis(50_000));
        assertTrue(snapshot.isFromFuture(50_000));
        assertFalse(snapshot.isFromFuture(99_000));
    }

    @Test
    void prefersItsListIfNewerOrTheOnlyOne() {
        Snapshot snapshot = snapshot(1, 100_000);
        assertTrue(snapshot.isFresherThan(76, false, "10.9.9.9:9500"));
        assertFalse(snapshot.isFresherThan(77, false, "10.9.9.9:9500"));
        assertFalse(
                snapshot.isFresherThan(3, false, "10.9.9.8:9500"),
                "versions of two discovery addresses can't be compared");
        assertTrue(snapshot.isFresherThan(0, true, "10.9.9.8:9500"));
        assertFalse(snapshot(0, 1).isFresherThan(0, true, ""));
    }
}
