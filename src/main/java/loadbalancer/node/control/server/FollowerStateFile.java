package loadbalancer.node.control.server;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.ResourceStateFormat;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.snapshot.Envelope;
import loadbalancer.snapshot.InvalidSnapshotException;
import loadbalancer.snapshot.TwoGenerationFiles;
import loadbalancer.transport.BackgroundExecutor;
import loadbalancer.transport.Transport;

/**
 * The state that a follower holds, as a file, so that it serves at once after a restart. Written on
 * a thread of its own, at most once in some seconds; what is lost with a crash comes again from the
 * writer.
 */
final class FollowerStateFile {
    private static final System.Logger LOG = System.getLogger(FollowerStateFile.class.getName());
    private static final int MAX_BYTES = 512 << 20;
    private static final Envelope ENVELOPE =
            new Envelope("yewyoke-control", "control state", 1, MAX_BYTES);
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Transport transport;
    private final Executor writer;

    /** None if nothing is to be kept. */
    private final Optional<TwoGenerationFiles> files;

    private boolean isChanged;

    /** A write is scheduled or under way; the next one waits for its end. */
    private boolean isBusy;

    private long nextWriteAt;

    /** In that folder, if there is one; written on that executor. */
    FollowerStateFile(Transport transport, Executor writer, Optional<Path> folder) {
        this.transport = transport;
        this.writer = writer;
        this.nextWriteAt = transport.nanoTime();
        this.files =
                folder.map(
                        path ->
                                new TwoGenerationFiles(
                                        new DirectoryStorage(path), "control-state", "follower"));
    }

    /** What the file holds; an empty state if there is none that can be used, which is logged. */
    ResourceState read() {
        if (files.isEmpty()) {
            return new ResourceState();
        }
        TwoGenerationFiles.Found<ResourceState> found =
                files.get().read(MAX_BYTES, FollowerStateFile::decode);
        found.refused().forEach(line -> LOG.log(Level.WARNING, "not used: " + line));
        return found.content() == null ? new ResourceState() : found.content();
    }

    private static ResourceState decode(byte[] file) throws InvalidSnapshotException {
        int start = ENVELOPE.open(file);
        try {
            return ResourceStateFormat.read(Arrays.copyOfRange(file, start, file.length));
        } catch (InvalidChangeException e) {
            throw new InvalidSnapshotException(e.getMessage());
        }
    }

    /**
     * The state has changed, on the loop: it is written at once, but at most once in some seconds.
     */
    void changed(ResourceState state) {
        isChanged = true;
        schedule(state);
    }

    private void schedule(ResourceState state) {
        if (files.isPresent() && isChanged && !isBusy) {
            isBusy = true;
            long delay = Math.max(0, nextWriteAt - transport.nanoTime());
            transport.loop().schedule(() -> writeIfChanged(state), delay, TimeUnit.NANOSECONDS);
        }
    }

    /** Hands to the executor what has changed since it was written last, on the loop. */
    void writeIfChanged(ResourceState state) {
        if (files.isPresent() && isChanged) {
            isChanged = false;
            Revision revision = state.revision();
            List<VersionedResource> resources = state.resources().toList();
            BackgroundExecutor.run(
                    writer,
                    transport.loop(),
                    () -> {
                        write(revision, resources);
                        return true;
                    },
                    done -> written(state),
                    failure -> failed(state, revision, failure));
        }
    }

    private void written(ResourceState state) {
        isBusy = false;
        nextWriteAt = transport.nanoTime() + INTERVAL_NANOS;
        schedule(state);
    }

    /** What has changed is still owed to the disk. */
    private void failed(ResourceState state, Revision revision, Throwable failure) {
        LOG.log(
                Level.WARNING,
                "the state at " + revision + " is not kept: " + failure.getMessage());
        isChanged = true;
        written(state);
    }

    /** On the executor: building and forcing a large file takes long. */
    private void write(Revision revision, List<VersionedResource> resources)
            throws IOException, InvalidSnapshotException {
        ResourceState copy = new ResourceState();
        resources.forEach(copy::put);
        copy.advance(revision);
        files.orElseThrow().write(ENVELOPE.around(ResourceStateFormat.write(copy)));
    }
}
