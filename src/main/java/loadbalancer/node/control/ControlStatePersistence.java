package loadbalancer.node.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.ResourceState;
import loadbalancer.snapshot.TwoGenerationFiles;
import loadbalancer.transport.BackgroundExecutor;

/**
 * Stores each state that takes effect. A state is copied on the event loop, then serialized and
 * written by an executor. Only one write runs at a time; of the states saved meanwhile, only the
 * newest is written.
 */
final class ControlStatePersistence {
    private static final System.Logger LOG =
            System.getLogger(ControlStatePersistence.class.getName());

    /** Delay before a failed write is retried. */
    private static final long RETRY_DELAY_MILLIS = 1_000;

    private final AppliedStateFiles files;
    private final EventLoop loop;
    private final Executor writer;
    private AppliedStateFiles.Copy pending;
    private boolean isWriting;
    private boolean isLastWriteFailed;

    /** Creates the persistence; it stores nothing if {@code files} is null. */
    ControlStatePersistence(AppliedStateFiles files, EventLoop loop, Executor writer) {
        this.files = files;
        this.loop = loop;
        this.writer = writer;
    }

    /**
     * Returns the last stored state, or an empty one if no file is usable, and logs each rejected
     * file. Blocks on the disk.
     */
    ResourceState read() {
        if (files == null) {
            return new ResourceState();
        }
        TwoGenerationFiles.ReadResult<ResourceState> result = files.read();
        result.rejections()
                .forEach(
                        line ->
                                LOG.log(
                                        System.Logger.Level.WARNING,
                                        "rejected a stored control state: " + line));
        return result.content() == null ? new ResourceState() : result.content();
    }

    /** Stores a copy of the state as it is now. Called on the event loop. */
    void save(ResourceState state) {
        if (files != null) {
            pending = AppliedStateFiles.Copy.of(state);
            writePending();
        }
    }

    private void writePending() {
        if (isWriting || pending == null) {
            return;
        }
        AppliedStateFiles.Copy next = pending;
        pending = null;
        isWriting = true;
        BackgroundExecutor.run(
                writer,
                loop,
                () -> files.write(next),
                this::onWritten,
                failure -> onWriteFailed(next, failure));
    }

    private void onWritten() {
        isWriting = false;
        if (isLastWriteFailed) {
            LOG.log(System.Logger.Level.INFO, "storing the control state works again");
        }
        isLastWriteFailed = false;
        writePending();
    }

    /** Schedules another write of the copy, or of a newer state if there is one by then. */
    private void onWriteFailed(AppliedStateFiles.Copy copy, Throwable failure) {
        if (!isLastWriteFailed) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "can't store the control state; retrying: " + failure);
        }
        isLastWriteFailed = true;
        pending = pending == null ? copy : pending;
        loop.schedule(
                () -> {
                    isWriting = false;
                    writePending();
                },
                RETRY_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}
