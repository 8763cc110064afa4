package loadbalancer.control.store;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import loadbalancer.control.model.Revision;

/**
 * Appends records to the log and compacts it into snapshots. After the first I/O error nothing more
 * is written, because what the failed call left on disk is unknown until the log is read again. One
 * thread writes; {@link #isAvailable} and {@link #stop} may be called from any thread.
 */
final class LogWriter implements Closeable {
    private final LogDirectory directory;
    private final LogFiles files;

    /** The current segment; null until the first record after opening or compaction. */
    private LogDirectory.LogFile segment;

    private volatile String failure;

    /** A step that may fail with an I/O error. */
    private interface IoStep {
        void run() throws IOException;
    }

    LogWriter(LogDirectory directory) {
        this.directory = directory;
        files = new LogFiles(directory);
    }

    boolean isAvailable() {
        return failure == null;
    }

    /** Stops all further writes; the reason of the first call is reported. */
    void stop(String reason) {
        if (failure == null) {
            failure = reason;
        }
    }

    /**
     * Writes and forces one framed record of the given revision.
     *
     * @throws IOException on an I/O error, or after {@link #stop}
     */
    void append(Revision revision, byte[] frame) throws IOException {
        runUnlessFailed(
                () -> {
                    if (segment == null) {
                        createSegment(revision, frame);
                    } else {
                        segment.write(frame);
                        segment.force();
                    }
                });
    }

    private void createSegment(Revision first, byte[] frame) throws IOException {
        segment = directory.create(LogFiles.segment(first));
        byte[] header = SegmentFormat.header();
        byte[] bytes = Arrays.copyOf(header, header.length + frame.length);
        System.arraycopy(frame, 0, bytes, header.length, frame.length);
        segment.write(bytes);
        segment.force();
        directory.force();
    }

    /**
     * Replaces all records and snapshots up to the given revision by a snapshot.
     *
     * @throws IOException on an I/O error, or after {@link #stop}
     */
    void compact(Revision revision, byte[] snapshot) throws IOException {
        runUnlessFailed(
                () -> {
                    files.replace(LogFiles.snapshot(revision), snapshot);
                    closeSegment();
                    files.deleteCompacted(revision);
                    directory.force();
                });
    }

    private void runUnlessFailed(IoStep step) throws IOException {
        if (failure != null) {
            throw new StoreUnavailableException(failure);
        }
        try {
            step.run();
        } catch (IOException | UncheckedIOException e) {
            stop("writing the log failed: " + e.getMessage());
            throw e;
        }
    }

    private void closeSegment() throws IOException {
        if (segment != null) {
            LogDirectory.LogFile closing = segment;
            segment = null;
            closing.close();
        }
    }

    @Override
    public void close() throws IOException {
        stop("the log is closed");
        closeSegment();
    }
}
