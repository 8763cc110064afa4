package loadbalancer.node.control.server;

import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.node.control.AppliedStateFiles;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.snapshot.TwoGenerationFiles;
import loadbalancer.transport.BackgroundExecutor;
import loadbalancer.transport.Transport;

/**
 * Stores a follower's state on disk, so that the follower can serve immediately after a restart.
 * Used on the event loop; an executor writes the file, at most once per {@link
 * #WRITE_INTERVAL_NANOS}. The follower receives updates that a crash lost from the writer again.
 */
final class FollowerStateFile {
    private static final System.Logger LOG = System.getLogger(FollowerStateFile.class.getName());
    private static final String FILE_NAME = "control-state";
    private static final String TEMPORARY_NAME = "follower";
    private static final int MAX_BYTES = 512 << 20;
    private static final long WRITE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Transport transport;
    private final Executor writer;

    /** Empty if no state is to be stored. */
    private final Optional<AppliedStateFiles> files;

    private boolean isChanged;

    /** Whether a write is scheduled or running; the next one waits until it has ended. */
    private boolean isBusy;

    private long nextWriteNanos;

    /**
     * Stores the state in {@code folder}, or nowhere if that is empty. {@code writer} executes the
     * writes.
     */
    FollowerStateFile(Transport transport, Executor writer, Optional<Path> folder) {
        this.transport = transport;
        this.writer = writer;
        this.nextWriteNanos = transport.nanoTime();
        this.files = folder.map(FollowerStateFile::files);
    }

    private static AppliedStateFiles files(Path folder) {
        return new AppliedStateFiles(
                new DirectoryStorage(folder), FILE_NAME, TEMPORARY_NAME, MAX_BYTES);
    }

    /**
     * Returns the stored state, or an empty one if no file is usable, and logs each rejected file.
     * Blocks on the disk.
     */
    ResourceState read() {
        if (files.isEmpty()) {
            return new ResourceState();
        }
        TwoGenerationFiles.ReadResult<ResourceState> result = files.get().read();
        result.rejections()
                .forEach(
                        line -> LOG.log(Level.WARNING, "rejected a stored control state: " + line));
        return result.content() == null ? new ResourceState() : result.content();
    }

    /** Called when the state has changed; writes it as soon as the interval allows. */
    void onChanged(ResourceState state) {
        isChanged = true;
        scheduleWrite(state);
    }

    private void scheduleWrite(ResourceState state) {
        if (files.isPresent() && isChanged && !isBusy) {
            isBusy = true;
            long delayNanos = Math.max(0, nextWriteNanos - transport.nanoTime());
            transport
                    .loop()
                    .schedule(() -> writeIfChanged(state), delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    /** Writes the state on the executor if it has changed since the last write. */
    void writeIfChanged(ResourceState state) {
        if (files.isPresent() && isChanged) {
            isChanged = false;
            AppliedStateFiles.Copy copy = AppliedStateFiles.Copy.of(state);
            BackgroundExecutor.run(
                    writer,
                    transport.loop(),
                    () -> files.orElseThrow().write(copy),
                    () -> onWritten(state),
                    failure -> onWriteFailed(state, copy.revision(), failure));
        }
    }

    private void onWritten(ResourceState state) {
        isBusy = false;
        nextWriteNanos = transport.nanoTime() + WRITE_INTERVAL_NANOS;
        scheduleWrite(state);
    }

    /** Schedules another write after the interval. */
    private void onWriteFailed(ResourceState state, Revision revision, Throwable failure) {
        LOG.log(
                Level.WARNING,
                "can't store the control state at revision "
                        + revision
                        + ": "
                        + failure.getMessage());
        isChanged = true;
        onWritten(state);
    }
}
