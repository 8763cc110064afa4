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
 * checks it, {@link #append} writes and forces it, {@link #apply} makes it part of the state; only
 * then may its revision be published. One change is pending at a time.
 *
 * <p>For one thread, the owner's, except {@link #append} and {@link #compact}, which block on the
 * disk: another thread may run one of them while the owner only reads until it has returned.
 *
 * <p>The outcome of a change whose append failed is unknown: it is not applied here, but may be in
 * the log when that is opened again. The client retries it with the same id.
 */
public final class ChangeStore implements Closeable {
    /** Ids of accepted changes that are retained: eleven days at 910 changes a day. */
    public static final int RETAINED_IDS = 10_000;

    /** A smaller log is not compacted. */
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
     * Reads the log and starts a new epoch, which is durable when this returns: every later
     * revision comes after every earlier one, and after those of any writer with a lower epoch than
     * {@code minEpoch}.
     *
     * @param directory closed with the store, and also if this fails
     * @param minEpoch the epoch is this or higher; an operator raises it to take over from a lost
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

    /** All accepted resources; changed by {@link #apply} only. */
    public ResourceState state() {
        return state;
    }

    /** The epoch of the changes that this store accepts. */
    public long epoch() {
        return state.revision().epoch();
    }

    /** One line on what opening truncated from the end of the log; empty if nothing was. */
    public Optional<String> recoveryNote() {
        return recoveryNote;
    }

    /**
     * Whether changes are accepted; false after an I/O error, a higher epoch elsewhere, or closing.
     */
    public boolean isAvailable() {
        return writer.isAvailable();
    }

    /**
     * Accepts no more changes if that epoch, of another writer, is higher than this store's own.
     */
    public void fence(long otherEpoch) {
        if (otherEpoch > epoch()) {
            writer.stop("another writer has epoch " + otherEpoch + ", this one has " + epoch());
        }
    }

    /** The revision that a change of that id was accepted with, if it is among the newest ones. */
    public Optional<Revision> accepted(String changeId) {
        return accepted.revisionOf(changeId);
    }

    /**
     * Checks a change against the state and gives it the next revision.
     *
     * @throws InvalidChangeException if it can't be made to the state, or its id was accepted
     *     before
     * @throws IllegalStateException if another change is pending
     */
    public PendingChange prepare(Change change) throws InvalidChangeException {
        if (pending != null) {
            throw new IllegalStateException("change " + pending.change().id() + " is pending");
        }
        Optional<Revision> earlier = accepted(change.id());
        if (earlier.isPresent()) {
            throw new InvalidChangeException(
                    "change " + change.id(), "was accepted before, as revision " + earlier.get());
        }
        ChangeCheck.check(state, change);
        Revision revision = state.revision().next();
        byte[] payload = new LogRecord(revision, change).encode();
        if (payload.length > SegmentFormat.MAX_PAYLOAD_BYTES) {
            throw new InvalidChangeException(
                    "change " + change.id(),
                    "has "
                            + payload.length
                            + " bytes, more than "
                            + SegmentFormat.MAX_PAYLOAD_BYTES);
        }
        pending = new PendingChange(revision, change, SegmentFormat.frame(payload));
        return pending;
    }

    /**
     * Writes and forces a prepared change; blocks. After a failure the store accepts no more
     * changes until it is opened anew.
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
     * Makes an appended change part of the state; gives its revision.
     *
     * @throws IllegalStateException if it was not appended
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

    /** Whether the log has grown beyond its last snapshot, so that {@link #compact} is due. */
    public boolean isCompactionDue() {
        return logBytes > Math.max(MIN_COMPACTION_BYTES, snapshotBytes);
    }

    /**
     * Replaces the log by a snapshot; blocks. A failure has the same effect as one of {@link
     * #append}, and loses nothing.
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
