package loadbalancer.control.store;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.Service;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ChangeStoreTest {
    private static final String FIRST_SEGMENT = LogFiles.segment(new Revision(1, 0));

    private final FaultyDirectory directory = new FaultyDirectory(1);

    private static Change change(String id) {
        return new Change(id, List.of(new Service(id, List.of(), List.of())), List.of());
    }

    private static Revision accept(ChangeStore store, Change change) throws Exception {
        PendingChange pending = store.prepare(change);
        store.append(pending);
        return store.apply(pending);
    }

    private ChangeStore open() throws Exception {
        return ChangeStore.open(directory, 0);
    }

    private String openingFailure() {
        String message = assertThrows(DamagedLogException.class, this::open).getMessage();
        assertEquals(1, message.lines().count(), message);
        return message;
    }

    private static byte[] segment(LogRecord... records) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(SegmentFormat.header());
        for (LogRecord record : records) {
            out.writeBytes(SegmentFormat.frame(record.encode()));
        }
        return out.toByteArray();
    }

    private static LogRecord epoch(long epoch, long number) {
        return LogRecord.epochStart(new Revision(epoch, number));
    }

    private static LogRecord record(long epoch, long number) {
        return new LogRecord(new Revision(epoch, number), change("c" + number));
    }

    @Test
    void startsHigherEpochAndContinuesNumberingAtEachOpening() throws Exception {
        ChangeStore first = open();
        assertEquals(new Revision(1, 0), first.state().revision());
        assertEquals(new Revision(1, 1), accept(first, change("a")));
        assertEquals(new Revision(2, 1), open().state().revision());
        ChangeStore third = ChangeStore.open(directory, 9);
        assertEquals(new Revision(9, 2), accept(third, change("b")));
        assertEquals(10, open().epoch());
    }

    @Test
    void stopsAcceptingChangesAfterFenceWithHigherEpoch() throws Exception {
        ChangeStore store = ChangeStore.open(directory, 5);
        store.fence(5);
        assertTrue(store.isAvailable());
        store.fence(6);
        assertEquals(
                "the store accepts no changes: another writer has epoch 6, this one has 5",
                assertThrows(StoreUnavailableException.class, () -> accept(store, change("a")))
                        .getMessage());
    }

    @Test
    void appliesChangeOnlyAfterItIsDurable() throws Exception {
        ChangeStore store = open();
        PendingChange pending = store.prepare(change("a"));
        assertThrows(IllegalStateException.class, () -> store.apply(pending));
        assertThrows(IllegalStateException.class, () -> store.prepare(change("b")));
        assertThrows(IllegalStateException.class, store::compact);
        assertFalse(store.state().hasService("a"));
        store.append(pending);
        assertFalse(store.state().hasService("a"));
        store.apply(pending);
        assertTrue(store.state().hasService("a"));
        assertThrows(IllegalStateException.class, () -> store.apply(pending));
    }

    @Test
    void rejectsInvalidChangeWithoutLoggingIt() throws Exception {
        ChangeStore store = open();
        assertThrows(
                InvalidChangeException.class,
                () -> store.prepare(new Change("a", List.of(), List.of())));
        assertEquals(new Revision(1, 1), accept(store, change("a")));
        assertThrows(InvalidChangeException.class, () -> store.prepare(change("a")));
    }

    @Test
    void retainsAcceptedIdsAcrossCompactionUpToTheCapacity() throws Exception {
        ChangeStore store = open();
        Resource service = new Service("s", List.of(), List.of());
        for (int number = 1; number <= ChangeStore.RETAINED_IDS; number++) {
            accept(store, new Change("c" + number, List.of(service), List.of()));
        }
        store.compact();
        assertEquals(Optional.of(new Revision(1, 1)), open().accepted("c1"));
        ChangeStore again = open();
        accept(again, change("one-more"));
        for (ChangeStore same : List.of(again, open())) {
            assertEquals(Optional.empty(), same.accepted("c1"));
            assertEquals(Optional.of(new Revision(1, 2)), same.accepted("c2"));
            assertEquals(Optional.of(new Revision(3, 10_001)), same.accepted("one-more"));
        }
    }

    @Test
    void compactsLogBeyondTheSizeLimitIntoOneSnapshot() throws Exception {
        ChangeStore store = open();
        List<String> zones = List.of("z".repeat(128));
        for (int number = 0; !store.isCompactionDue(); number++) {
            accept(store, new Change("c" + number, manyServices(zones), List.of()));
            assertTrue(number < 100, "compaction is not due after 100 changes");
        }
        Digest before = store.state().digest(Scope.ALL);
        store.compact();
        assertFalse(store.isCompactionDue());
        assertEquals(List.of(LogFiles.snapshot(store.state().revision())), directory.list());
        assertEquals(before, open().state().digest(Scope.ALL));
    }

    private static List<Resource> manyServices(List<String> zones) {
        Resource[] services = new Resource[1_000];
        Arrays.setAll(services, index -> new Service("s" + index, zones, List.of()));
        return List.of(services);
    }

    @Test
    void truncatesAndReportsIncompleteLastRecord() throws Exception {
        byte[] complete = segment(epoch(1, 0), record(1, 1), record(1, 2));
        int last = segment(epoch(1, 0), record(1, 1)).length;
        for (int length = last; length < complete.length; length++) {
            FaultyDirectory torn = new FaultyDirectory(1);
            torn.put(FIRST_SEGMENT, Arrays.copyOf(complete, length));
            ChangeStore store = ChangeStore.open(torn, 0);
            assertEquals(new Revision(2, 1), store.state().revision());
            assertEquals(length > last, store.recoveryNote().isPresent());
            assertLength(last, torn.read(FIRST_SEGMENT));
        }
    }

    private static void assertLength(int expected, byte[] bytes) {
        assertEquals(expected, bytes.length);
    }

    @Test
    void deletesLastSegmentWithoutCompleteRecord() throws Exception {
        byte[] empty = segment();
        for (byte[] torn : List.of(new byte[0], new byte[40], Arrays.copyOf(empty, 7), empty)) {
            FaultyDirectory files = new FaultyDirectory(1);
            files.put(FIRST_SEGMENT, segment(epoch(1, 0), record(1, 1)));
            files.put(LogFiles.segment(new Revision(2, 1)), torn);
            assertEquals(new Revision(2, 1), ChangeStore.open(files, 0).state().revision());
        }
    }

    @Test
    void refusesToOpenWithAnyDamagedByteBeforeTheLastRecord() {
        byte[] complete = segment(epoch(1, 0), record(1, 1), record(1, 2));
        int last = segment(epoch(1, 0), record(1, 1)).length;
        for (int offset = 0; offset < last; offset++) {
            byte[] damaged = complete.clone();
            damaged[offset] ^= 1;
            directory.put(FIRST_SEGMENT, damaged);
            assertTrue(openingFailure().startsWith(FIRST_SEGMENT + " at byte "));
        }
    }

    @Test
    void refusesToOpenWithIncompleteRecordInEarlierSegment() {
        byte[] complete = segment(epoch(1, 0), record(1, 1));
        directory.put(FIRST_SEGMENT, Arrays.copyOf(complete, complete.length - 1));
        directory.put(LogFiles.segment(new Revision(2, 1)), segment(epoch(2, 1)));
        assertEquals(
                FIRST_SEGMENT
                        + " at byte "
                        + segment(epoch(1, 0)).length
                        + ": record is damaged, and a later segment follows",
                openingFailure());
    }

    @Test
    void refusesToOpenWithNonConsecutiveRevisions() {
        List<LogRecord[]> wrong =
                List.of(
                        new LogRecord[] {epoch(1, 0), record(1, 2)},
                        new LogRecord[] {epoch(1, 0), record(1, 1), record(1, 1)},
                        new LogRecord[] {epoch(1, 0), record(2, 1)},
                        new LogRecord[] {epoch(1, 0), epoch(1, 0)},
                        new LogRecord[] {epoch(1, 0), epoch(2, 1)});
        for (LogRecord[] records : wrong) {
            directory.put(FIRST_SEGMENT, segment(records));
            String message = openingFailure();
            assertTrue(message.contains("can't follow revision 1."), message);
        }
    }

    @Test
    void refusesToOpenWithMissingSegment() {
        directory.put(LogFiles.segment(new Revision(2, 5)), segment(epoch(2, 5)));
        assertTrue(openingFailure().endsWith("revision 2.5 can't follow revision 0.0"));
    }

    @Test
    void refusesToOpenNewerOrUnknownFormat() {
        directory.put(FIRST_SEGMENT, "yewyoke-control-log 2\nwhatever".getBytes(UTF_8));
        assertEquals(
                FIRST_SEGMENT + " at byte 0: has format 2, and this program reads 1",
                openingFailure());
        directory.put(FIRST_SEGMENT, "something else\n".getBytes(UTF_8));
        assertTrue(openingFailure().endsWith("expected the header of a control log"));
    }

    @Test
    void refusesToOpenWithDamagedSnapshot() throws Exception {
        ChangeStore store = open();
        accept(store, change("a"));
        store.compact();
        String name = directory.list().get(0);
        byte[] complete = directory.read(name);
        for (int offset = 0; offset < complete.length; offset++) {
            byte[] damaged = complete.clone();
            damaged[offset] ^= 1;
            directory.put(name, damaged);
            assertTrue(openingFailure().startsWith(name + " at byte "));
        }
        directory.put(name, Arrays.copyOf(complete, complete.length - 1));
        assertTrue(openingFailure().contains("torn"));
    }

    @Test
    void readsBackFilesOnDiskAndLocksTheirDirectory(@TempDir Path folder) throws Exception {
        Path made = folder.resolve("control");
        try (ChangeStore store = ChangeStore.open(FileLogDirectory.open(made), 0)) {
            accept(store, change("a"));
            store.compact();
            accept(store, change("b"));
            assertThrows(IOException.class, () -> FileLogDirectory.open(made));
        }
        try (ChangeStore store = ChangeStore.open(FileLogDirectory.open(made), 0)) {
            assertEquals(new Revision(2, 2), store.state().revision());
            assertTrue(store.state().hasService("a") && store.state().hasService("b"));
        }
    }
}
