package loadbalancer.control.store;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;

/**
 * Recovers the state from a log when it is opened: reads the newest snapshot and all records after
 * it. Incomplete data of a crash is removed. The newest segment is rewritten, because an earlier
 * force of it may have failed, in which case its bytes are readable but not durable. Not
 * thread-safe.
 */
final class LogRecovery {
    private final LogDirectory directory;
    private final LogFiles files;
    private ResourceState state = new ResourceState();
    private AcceptedChanges accepted;
    private long snapshotBytes;
    private long logBytes;
    private String note;

    /**
     * The result of the recovery.
     *
     * @param state the state after the last complete record
     * @param accepted the ids of the newest changes
     * @param snapshotBytes the size of the snapshot; 0 if there is none
     * @param logBytes the size of the segments after the snapshot
     * @param note one line about truncated bytes; empty if nothing was truncated
     */
    record Recovered(
            ResourceState state,
            AcceptedChanges accepted,
            long snapshotBytes,
            long logBytes,
            Optional<String> note) {}

    private LogRecovery(LogDirectory directory, int retainedIds) {
        this.directory = directory;
        files = new LogFiles(directory);
        accepted = new AcceptedChanges(retainedIds);
    }

    /**
     * Reads the log and removes an incomplete record at its end.
     *
     * @throws DamagedLogException if accepted changes would be lost
     * @throws IOException on an I/O error
     */
    static Recovered recover(LogDirectory directory, int retainedIds)
            throws DamagedLogException, IOException {
        LogRecovery recovery = new LogRecovery(directory, retainedIds);
        recovery.files.deleteTemporary();
        recovery.readSnapshot(retainedIds);
        recovery.readSegments();
        return new Recovered(
                recovery.state,
                recovery.accepted,
                recovery.snapshotBytes,
                recovery.logBytes,
                Optional.ofNullable(recovery.note));
    }

    private void readSnapshot(int retainedIds) throws DamagedLogException, IOException {
        List<LogFiles.NamedFile> snapshots = files.snapshots();
        if (snapshots.isEmpty()) {
            return;
        }
        LogFiles.NamedFile newest = snapshots.get(snapshots.size() - 1);
        byte[] bytes = directory.read(newest.name());
        StoreSnapshotFormat.Content content =
                StoreSnapshotFormat.read(newest.name(), bytes, retainedIds);
        if (!content.state().revision().equals(newest.revision())) {
            throw new DamagedLogException(
                    newest.name(),
                    0,
                    "has revision " + content.state().revision() + ", expected that of its name");
        }
        state = content.state();
        accepted = content.accepted();
        snapshotBytes = bytes.length;
        directory.force();
        files.deleteCompacted(newest.revision());
    }

    private void readSegments() throws DamagedLogException, IOException {
        List<LogFiles.NamedFile> segments = files.segments();
        for (int index = 0; index < segments.size(); index++) {
            LogFiles.NamedFile file = segments.get(index);
            boolean isLast = index == segments.size() - 1;
            Segment segment = Segment.read(file.name(), directory.read(file.name()), isLast);
            replay(segment, file.revision(), isLast);
            logBytes += segment.bytes().length;
            if (isLast) {
                rewrite(segment);
            }
        }
    }

    private void replay(Segment segment, Revision expectedFirst, boolean isLast)
            throws DamagedLogException {
        if (segment.isEmpty() && !isLast) {
            throw new DamagedLogException(
                    segment.file(), 0, "has no record, but a later segment follows");
        }
        if (!segment.isEmpty() && !segment.first().revision().equals(expectedFirst)) {
            throw new DamagedLogException(
                    segment.file(),
                    0,
                    "expected the first record to have the revision of the file name");
        }
        for (Segment.Entry entry : segment.records()) {
            LogRecord record = entry.record();
            if (!record.follows(state.revision())) {
                throw new DamagedLogException(
                        segment.file(),
                        entry.offset(),
                        "revision "
                                + record.revision()
                                + " can't follow revision "
                                + state.revision());
            }
            apply(record);
        }
    }

    private void apply(LogRecord record) {
        if (record.startsEpoch()) {
            state.advance(record.revision());
        } else {
            state.apply(record.revision(), record.change());
            accepted.add(record.change().id(), record.revision());
        }
    }

    private void rewrite(Segment segment) throws IOException {
        if (segment.tornBytes() > 0) {
            note =
                    segment.file()
                            + " at byte "
                            + segment.bytes().length
                            + ": truncated "
                            + segment.tornBytes()
                            + " bytes of an incomplete record";
        }
        if (segment.isEmpty()) {
            directory.delete(segment.file());
            directory.force();
        } else {
            files.replace(segment.file(), segment.bytes());
        }
    }
}
