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
 * The accepted changes of the writer, durable. A change goes three steps: {@link #prepare} checks
 * it, {@link #append} writes and forces it, {@link #apply} makes it part of the state; only then
 * may its revision be told to anybody. One change is on its way at a time.
 *
 * <p>For one thread, the owner's, but for {@link #append} and {@link #compact}, which block on the
 * disk: another thread may run one of them while the owner does no more than read until it has
 * returned.
 *
 * <p>A change whose append failed is in doubt: it is not applied here, but may be in the log when
 * that is opened again. Whoever made it sends it again with the same id.
 */
public final class ChangeStore implements Closeable {
    /** Ids of accepted changes that are remembered: eleven days at 910 changes a day. */
    public static final int RETAINED_IDS = 10_000;

    /** Below this size of the log a compaction does not pay. */
    public static final long LEAST_COMPACTION_BYTES = 4 << 20;

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
     * {@code leastEpoch}.
     *
     * @param directory closed with the store, and also if this fails
     * @param leastEpoch the epoch is this or higher; an operator raises it to take over from a lost
     *     writer
     */
    public static ChangeStore open(LogDirectory directory, long leastEpoch)
            throws DamagedLogException, IOException {
        try {
            ChangeStore store =
                    new ChangeStore(directory, LogRecovery.recover(directory, RETAINED_IDS));
            store.startEpoch(leastEpoch);
            return store;
        } catch (DamagedLogException | IOException | RuntimeException e) {
            directory.close();
            throw e;
        }
    }

    private void startEpoch(long leastEpoch) throws IOException {
        Revision last = state.revision();
        long epoch = Math.max(Math.addExact(last.epoch(), 1), leastEpoch);
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

    /** One line on what opening cut off the end of the log; empty if nothing was. */
    public Optional<String> recoveryNote() {
        return recoveryNote;
    }

    /**
     * Whether changes are taken; false after an I/O error, a higher epoch elsewhere, or closing.
     */
    public boolean isAvailable() {
        return writer.isAvailable();
    }

    /** Takes no more changes if that epoch, heard of elsewhere, is higher than this store's own. */
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
     * Checks a change against the state and gives it the next revision. Ask {@link #accepted}
     * before, and let no other change be on its way.
     */
    public PendingChange prepare(Change change) throws InvalidChangeException {
        if (pending != null) {
            throw new IllegalStateException("change " + pending.change().id() + " is on its way");
        }
        Optional<Revision> earlier = accepted(change.id());
        if (earlier.isPresent()) {
            throw new InvalidChangeException(
                    "change " + change.id(), "was accepted before, as revision " + earlier.get());
        }
        ChangeCheck.check(state, change);
        Revision revision = state.revision().next();
        byte[] payload = new LogRecord(revision, change).encode();
        if (payload.length > SegmentFormat.MOST_PAYLOAD_BYTES) {
            throw new InvalidChangeException(
                    "change " + change.id(),
                    "has "
                            + payload.length
                            + " bytes, more than "
                            + SegmentFormat.MOST_PAYLOAD_BYTES);
        }
        pending = new PendingChange(revision, change, SegmentFormat.frame(payload));
        return pending;
    }

    /**
     * Writes and forces a prepared change; blocks. After a failure the store takes no more changes
     * until it is opened anew; later calls fail with {@link StoreUnavailableException}.
     */
    public void append(PendingChange change) throws IOException {
        requirePending(change);
        writer.append(change.revision(), change.frame());
        change.markAppended();
    }

    /** Makes an appended change part of the state; gives its revision. */
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
                    "change " + change.change().id() + " is not the one on its way");
        }
    }

    /** Whether the log has grown so far beyond its last snapshot that {@link #compact} pays. */
    public boolean compactionDue() {
        return logBytes > Math.max(LEAST_COMPACTION_BYTES, snapshotBytes);
    }

    /**
     * Writes a snapshot in the place of the log; blocks. Not while a change is on its way. A
     * failure has the same effect as one of {@link #append}, and loses nothing.
     */
    public void compact() throws IOException {
        if (pending != null) {
            throw new IllegalStateException("change " + pending.change().id() + " is on its way");
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
