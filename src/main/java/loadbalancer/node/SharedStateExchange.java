package loadbalancer.node;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import loadbalancer.logging.FailureLogFilter;
import loadbalancer.snapshot.InvalidStoredFileException;
import loadbalancer.transport.BackgroundExecutor;

/**
 * Exchanges one state with the sibling process while there is one; without a sibling it does
 * nothing. Used on the event loop; files are accessed by an executor. If they can't be, this
 * process goes on with what it knows itself.
 *
 * @param <T> the state as the other process shares it
 */
final class SharedStateExchange<T> {
    private static final System.Logger LOG = System.getLogger(SharedStateExchange.class.getName());
    private static final long NOTHING_SHARED = -1;

    private final SiblingProcess sibling;
    private final EventLoop loop;
    private final Executor executor;
    private final SharedState<T> state;
    private final FailureLogFilter failureLog = new FailureLogFilter();

    /** Whether the last poll that accessed files found a sibling. */
    private boolean hadSibling;

    private boolean isAccessingFiles;
    private long sharedChangeCount = NOTHING_SHARED;

    /** Stamp of the sibling's file that was read last; null for none. */
    private Object readStamp;

    SharedStateExchange(
            SiblingProcess sibling, EventLoop loop, Executor executor, SharedState<T> state) {
        this.sibling = sibling;
        this.loop = loop;
        this.executor = executor;
        this.state = state;
    }

    /**
     * Result of one access to the files.
     *
     * @param isWritten whether this process's state was written
     * @param received state that the other process has shared since the last access; null for none
     * @param stamp stamp of the file that was read last
     * @param failure why a file could not be used; null if all could
     */
    private record Access<T>(boolean isWritten, T received, Object stamp, Exception failure) {}

    /**
     * Shares this process's state if it has changed, and adopts the sibling's if that has. After
     * the sibling's end its state is looked at once more.
     *
     * @param isSiblingRunning whether there is a sibling
     * @param startedSecond whether that sibling started before this process; then this process
     *     shares nothing until it has learnt something itself
     */
    void poll(boolean isSiblingRunning, boolean startedSecond) {
        Optional<SiblingFiles> files = sibling.files();
        if (isAccessingFiles || files.isEmpty() || !isSiblingRunning && !hadSibling) {
            return;
        }
        if (!hadSibling) {
            sharedChangeCount = NOTHING_SHARED; // this sibling has received nothing yet
        }
        hadSibling = isSiblingRunning;
        isAccessingFiles = true;
        long changeCount = state.changeCount();
        boolean mayShare = !startedSecond || state.hasLearntSinceStart();
        SharedState.Encoder encoder =
                isSiblingRunning && mayShare && changeCount != sharedChangeCount
                        ? state.encoder().orElse(null)
                        : null;
        Object lastStamp = readStamp;
        BackgroundExecutor.call(
                executor,
                loop,
                () -> access(files.get(), encoder, lastStamp),
                access -> onAccess(access, changeCount),
                failure ->
                        onAccess(
                                new Access<>(false, null, lastStamp, asException(failure)),
                                changeCount));
    }

    /** Writes and reads, and does the one even if the other fails. */
    private Access<T> access(SiblingFiles files, SharedState.Encoder encoder, Object lastStamp) {
        Exception failure = null;
        boolean isWritten = false;
        try {
            if (encoder != null) {
                files.write(state.name(), encoder.encode());
                isWritten = true;
            }
        } catch (IOException | InvalidStoredFileException e) {
            failure = e;
        }
        Object stamp = lastStamp;
        T received = null;
        try {
            stamp = files.otherStamp(state.name());
            if (stamp != null && !Objects.equals(stamp, lastStamp)) {
                received = state.decode(files.readOther(state.name(), state.maxBytes()));
            }
        } catch (IOException | InvalidStoredFileException | RuntimeException e) {
            failure = e; // the file is not read again before it changes
        }
        return new Access<>(isWritten, received, stamp, failure);
    }

    private void onAccess(Access<T> access, long changeCount) {
        isAccessingFiles = false;
        readStamp = access.stamp();
        if (access.isWritten()) {
            sharedChangeCount = changeCount;
        }
        if (access.failure() == null) {
            failureLog.recordSuccess();
        } else if (failureLog.shouldLogFailure()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "can't share the "
                            + state.name()
                            + " with a sibling process, and goes on without: "
                            + access.failure());
        }
        if (access.received() != null) {
            state.adopt(access.received());
        }
    }

    private static Exception asException(Throwable failure) {
        return failure instanceof Exception exception ? exception : new IOException(failure);
    }
}
