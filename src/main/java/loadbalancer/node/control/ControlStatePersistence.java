package loadbalancer.node.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.ResourceState;
import loadbalancer.snapshot.TwoGenerationFiles;
import loadbalancer.transport.BackgroundExecutor;

/**
 * Stores each state that comes in force. Copied on the loop; serialized and written on an executor,
 * one at a time, and of those that come meanwhile only the newest.
 */
final class ControlStatePersistence {
    private static final System.Logger LOG =
            System.getLogger(ControlStatePersistence.class.getName());

    /** Delay of a retry after a failed write. */
    private static final long RETRY_MILLIS = 1_000;

    private final AppliedStateFiles files;
    private final EventLoop loop;
    private final Executor writer;
    private AppliedStateFiles.Copy pending;
    private boolean isWriting;
    private boolean isFailing;

    /** Without files nothing is stored. */
    ControlStatePersistence(AppliedStateFiles files, EventLoop loop, Executor writer) {
        this.files = files;
        this.loop = loop;
        this.writer = writer;
    }

    /** The state stored last, empty if none can be used; each rejected file is logged. Blocks. */
    ResourceState read() {
        if (files == null) {
            return new ResourceState();
        }
        TwoGenerationFiles.ReadResult<ResourceState> found = files.read();
        found.rejections()
                .forEach(
                        line ->
                                LOG.log(
                                        System.Logger.Level.WARNING,
                                        "skipped a stored control state: " + line));
        return found.content() == null ? new ResourceState() : found.content();
    }

    /** Stores the state as it is now, on the loop. */
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
                this::written,
                failure -> failed(next, failure));
    }

    private void written() {
        isWriting = false;
        if (isFailing) {
            LOG.log(System.Logger.Level.INFO, "stores the control state again");
        }
        isFailing = false;
        writePending();
    }

    /** Retries the write, unless there is a newer state by then. */
    private void failed(AppliedStateFiles.Copy copy, Throwable failure) {
        if (!isFailing) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "can't store the control state, continues without: " + failure);
        }
        isFailing = true;
        pending = pending == null ? copy : pending;
        loop.schedule(
                () -> {
                    isWriting = false;
                    writePending();
                },
                RETRY_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}
