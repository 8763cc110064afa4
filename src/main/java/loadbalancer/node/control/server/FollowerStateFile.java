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
 * A follower's state on disk, so that it serves at once after a restart. Used on the loop; written
 * on an executor, at most once in {@link #INTERVAL_NANOS}. What a crash loses comes again from the
 * writer.
 */
final class FollowerStateFile {
    private static final System.Logger LOG = System.getLogger(FollowerStateFile.class.getName());
    private static final String FILE_NAME = "control-state";
    private static final String TEMPORARY_NAME = "follower";
    private static final int MAX_BYTES = 512 << 20;
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Transport transport;
    private final Executor writer;

    /** Empty if nothing is to be stored. */
    private final Optional<AppliedStateFiles> files;

    private boolean isChanged;

    /** A write is scheduled or under way; the next one waits for its end. */
    private boolean isBusy;

    private long nextWriteNanos;

    /** In that folder, if there is one; written on that executor. */
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

    /** The stored state; empty if there is none that can be used, which is logged. Blocks. */
    ResourceState read() {
        if (files.isEmpty()) {
            return new ResourceState();
        }
        TwoGenerationFiles.ReadResult<ResourceState> found = files.get().read();
        found.rejections().forEach(line -> LOG.log(Level.WARNING, "not used: " + line));
        return found.content() == null ? new ResourceState() : found.content();
    }

    /** The state has changed: it is written as soon as the interval allows. */
    void changed(ResourceState state) {
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

    /** Writes the state on the executor, if it has changed since the last write. */
    void writeIfChanged(ResourceState state) {
        if (files.isPresent() && isChanged) {
            isChanged = false;
            AppliedStateFiles.Copy copy = AppliedStateFiles.Copy.of(state);
            BackgroundExecutor.run(
                    writer,
                    transport.loop(),
                    () -> files.orElseThrow().write(copy),
                    () -> written(state),
                    failure -> failed(state, copy.revision(), failure));
        }
    }

    private void written(ResourceState state) {
        isBusy = false;
        nextWriteNanos = transport.nanoTime() + INTERVAL_NANOS;
        scheduleWrite(state);
    }

    /** The write is retried after the interval. */
    private void failed(ResourceState state, Revision revision, Throwable failure) {
        LOG.log(
                Level.WARNING,
                "can't store the state at " + revision + ": " + failure.getMessage());
        isChanged = true;
        written(state);
    }
}
