package loadbalancer.control.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.Optional;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.ChangeCheck;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;

/**
 * Durable storage of the writer's accepted changes. A change takes three steps: {@link #prepare}
 * checks it, {@link #append} writes it to the log and forces the log to disk, and {@link #apply}
 * applies it to the state; only then may its revision be published. At most one change is pending
 * at a time.
 *
 * <p>Confined to the owner's thread, except for {@link #append} and {@link #compact}, which block
 * on the disk. Another thread may run one of them as long as the owner only reads until it has
 * returned.
 *
 * <p>The outcome of a change whose append failed is unknown: it is not applied to the state, but it
 * may be found in the log when the log is opened again. The client retries it with the same id.
 */
public final class ChangeStore implements Closeable {
    /** The number of retained ids of accepted changes: eleven days at 910 changes a day. */
    public static final int RETAINED_IDS = 10_000;

    /** The minimum size of a log to compact. */
    public static final long MIN_COMPACTION_BYTES = 4 << 20;

    private final LogDirectory directory;
    private final LogWriter writer;
    private final ResourceState state;
    private final AcceptedChanges accepted;
    private final Optional<String> recoveryNote;
    private long snapshotBytes;
    private long logBytes;
    private PendingChange pending;

    private ChangeStore(LogDirectory directory, LogRecovery.Recovered recovered) {
        this.directory = directory;
        writer = new LogWriter(directory);
        state = recovered.state();
        accepted = recovered.accepted();
        recoveryNote = recovered.note();
        snapshotBytes = recovered.snapshotBytes();
        logBytes = recovered.logBytes();
    }

    /**
     * Reads the log and starts a new epoch, which is durable when this method returns. All
     * revisions of this store are therefore later than all earlier ones in the log, and later than
     * those of any writer with an epoch below {@code minEpoch}.
     *
     * @param directory the files of the log; closed with the store, and also if opening fails
     * @param minEpoch the minimum of the new epoch; an operator raises it to take over from a lost
     *     writer
     * @throws DamagedLogException if the log can't be read without losing accepted changes
     * @throws IOException if reading or writing the log fails
     */
    public static ChangeStore open(LogDirectory directory, long minEpoch)
            throws DamagedLogException, IOException {
        try {
            ChangeStore store =
                    new ChangeStore(directory, LogRecovery.recover(directory, RETAINED_IDS));
            store.startEpoch(minEpoch);
            return store;
        } catch (DamagedLogException | IOException | RuntimeException e) {
            directory.close();
            throw e;
        }
    }

    private void startEpoch(long minEpoch) throws IOException {
        Revision last = state.revision();
        long epoch = Math.max(Math.addExact(last.epoch(), 1), minEpoch);
        Revision first = new Revision(epoch, last.number());
        byte[] frame = SegmentFormat.frame(LogRecord.epochStart(first).encode());
        writer.append(first, frame);
        logBytes += frame.length;
        state.advance(first);
    }

    /** Returns the state with all applied changes; only {@link #apply} changes it. */
    public ResourceState state() {
        return state;
    }

    /** Returns the epoch of the changes that this store accepts. */
    public long epoch() {
        return state.revision().epoch();
    }

    /** Returns one line about what was truncated from the end of the log; empty if nothing was. */
    public Optional<String> recoveryNote() {
        return recoveryNote;
    }

    /**
     * Returns whether changes are accepted; false after an I/O error, after {@link #fence} with a
     * higher epoch, and after closing.
     */
    public boolean isAvailable() {
        return writer.isAvailable();
    }

    /** Stops accepting changes if the epoch of another writer is higher than that of this store. */
    public void fence(long otherEpoch) {
        if (otherEpoch > epoch()) {
            writer.stop("another writer has epoch " + otherEpoch + ", this one has " + epoch());
        }
    }

    /** Returns the revision of an accepted change, if it is among the newest changes. */
    public Optional<Revision> accepted(String changeId) {
        return accepted.revisionOf(changeId);
    }

    /**
     * Checks a change against the state and assigns the next revision to it.
     *
     * @throws InvalidChangeException if it can't be applied to the state, or a change with its id
     *     was accepted before
     * @throws IllegalStateException if another change is pending
     */
    public PendingChange prepare(Change change) throws InvalidChangeException {
        if (pending != null) {
            throw new IllegalStateException("change " + pending.change().id() + " is pending");
        }
        Optional<Revision> earlier = accepted(change.id());
        if (earlier.isPresent()) {
            throw new InvalidChangeException(
                    "change " + change.id(), "was already accepted as revision " + earlier.get());
        }
        ChangeCheck.check(state, change);
        Revision revision = state.revision().next();
        byte[] payload = new LogRecord(revision, change).encode();
        if (payload.length > SegmentFormat.MAX_PAYLOAD_BYTES) {
            throw new InvalidChangeException(
                    "change " + change.id(),
                    "has "
                            + payload.length
                            + " bytes; the maximum is "
                            + SegmentFormat.MAX_PAYLOAD_BYTES);
        }
        pending = new PendingChange(revision, change, SegmentFormat.frame(payload));
        return pending;
    }

    /**
     * Writes a prepared change to the log and forces it to disk; blocks. After a failure the store
     * accepts no more changes until it is opened again.
     *
     * @throws StoreUnavailableException after an earlier failure
     * @throws IOException if writing fails
     */
    public void append(PendingChange change) throws IOException {
        requirePending(change);
        writer.append(change.revision(), change.frame());
        change.markAppended();
    }

    /**
     * Applies an appended change to the state and returns its revision.
     *
     * @throws IllegalStateException if the change was not appended or is not the pending one
     */
    public Revision apply(PendingChange change) {
        requirePending(change);
        if (!change.isAppended()) {
            throw new IllegalStateException("change " + change.change().id() + " is not durable");
        }
        state.apply(change.revision(), change.change());
        accepted.add(change.change().id(), change.revision());
        logBytes += change.frame().length;
        pending = null;
        return change.revision();
    }

    private void requirePending(PendingChange change) {
        if (change != pending) {
            throw new IllegalStateException(
                    "change " + change.change().id() + " is not the pending one");
        }
    }

    /** Returns whether the log is larger than its last snapshot, so {@link #compact} is due. */
    public boolean isCompactionDue() {
        return logBytes > Math.max(MIN_COMPACTION_BYTES, snapshotBytes);
    }

    /**
     * Replaces the log by a snapshot; blocks. After a failure the store accepts no more changes, as
     * after a failure of {@link #append}, but no accepted change is lost.
     *
     * @throws StoreUnavailableException after an earlier failure
     * @throws IOException if writing fails
     * @throws IllegalStateException if a change is pending
     */
    public void compact() throws IOException {
        if (pending != null) {
            throw new IllegalStateException("change " + pending.change().id() + " is pending");
        }
        byte[] snapshot = StoreSnapshotFormat.write(state, accepted);
        writer.compact(state.revision(), snapshot);
        snapshotBytes = snapshot.length;
        logBytes = 0;
    }

    @Override
    public void close() throws IOException {
        try {
            writer.close();
        } finally {
            directory.close();
        }
    }
}
