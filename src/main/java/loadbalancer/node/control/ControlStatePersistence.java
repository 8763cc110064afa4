package loadbalancer.node.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.ResourceState;
import loadbalancer.snapshot.TwoGenerationFiles;
import loadbalancer.transport.BackgroundExecutor;

/**
 * Keeps on a disk what is in force. Copied on the loop; put into bytes and written elsewhere, one
 * at a time, and of those that come meanwhile only the newest.
 */
final class ControlStatePersistence {
    private static final System.Logger LOG =
            System.getLogger(ControlStatePersistence.class.getName());

    /** So long after a write that failed it is tried again. */
    private static final long AGAIN_MILLIS = 1_000;

    private final ControlStateStore store;
    private final EventLoop loop;
    private final Executor writer;
    private ControlStateStore.Copy waiting;
    private boolean writing;
    private boolean failing;

    /** Without a store nothing is kept. */
    ControlStatePersistence(ControlStateStore store, EventLoop loop, Executor writer) {
        this.store = store;
        this.loop = loop;
        this.writer = writer;
    }

    /** What was kept last, empty if nothing can be used; each file that is refused gets a line. */
    ResourceState read() {
        if (store == null) {
            return new ResourceState();
        }
        TwoGenerationFiles.Found<ResourceState> found = store.read();
        found.refused()
                .forEach(
                        line ->
                                LOG.log(
                                        System.Logger.Level.WARNING,
                                        "starts without what control gave before: " + line));
        return found.content() == null ? new ResourceState() : found.content();
    }

    /** Keeps the state as it is now. */
    void save(ResourceState state) {
        if (store != null) {
            waiting = new ControlStateStore.Copy(state.revision(), state.resources().toList());
            writeWaiting();
        }
    }

    private void writeWaiting() {
        if (writing || waiting == null) {
            return;
        }
        ControlStateStore.Copy next = waiting;
        waiting = null;
        writing = true;
        BackgroundExecutor.run(
                writer,
                loop,
                () -> {
                    store.write(next);
                    return true;
                },
                done -> written(),
                failure -> failed(next, failure));
    }

    private void written() {
        writing = false;
        if (failing) {
            LOG.log(System.Logger.Level.INFO, "keeps what control gives again");
        }
        failing = false;
        writeWaiting();
    }

    /**
     * What was in force is still owed to the disk: tried again, unless there is something newer by
     * then.
     */
    private void failed(ControlStateStore.Copy copy, Throwable failure) {
        if (!failing) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "can't keep what control gives, and goes on without: " + failure);
        }
        failing = true;
        waiting = waiting == null ? copy : waiting;
        loop.schedule(
                () -> {
                    writing = false;
                    writeWaiting();
                },
                AGAIN_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}
