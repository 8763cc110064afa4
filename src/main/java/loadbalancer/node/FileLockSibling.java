package loadbalancer.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import loadbalancer.logging.FailureLogFilter;

/**
 * Detects a sibling process at the same address by file locks. Each of the two processes locks one
 * byte of a common file while it runs, and another byte while it accepts clients; the kernel
 * releases the locks however a process ends. Used on the event loop.
 */
final class FileLockSibling implements SiblingProcess {
    private static final System.Logger LOG = System.getLogger(FileLockSibling.class.getName());

    /**
     * Prefix of the lock file's name, the same in every version, as the two processes may run
     * different versions.
     */
    private static final String FILE_PREFIX = "yewyoke-";

    private static final String FILE_SUFFIX = ".lock";

    /** Suffix of the file of shared memory, behind the name of the lock file. */
    private static final String MEMORY_SUFFIX = ".ids";

    /** Bytes 0 and 1 are locked by the running processes, bytes 2 and 3 by those that listen. */
    private static final int LISTENING_OFFSET = 2;

    private final Path path;

    /**
     * Null while the file can't be opened: no sibling can be detected then, and the process assumes
     * that it is alone.
     */
    private FileChannel lockFile;

    /** Index of this process among the two, 0 or 1. */
    private int slot;

    /**
     * Files of the slot; null until this process has locked it. A third process, which may start
     * before the first one has ended, has none.
     */
    private SlotFiles files;

    private boolean wantsToListen;
    private FileLock listeningLock;
    private final FailureLogFilter failureLog = new FailureLogFilter();

    private FileLockSibling(Path path) {
        this.path = path;
    }

    /**
     * Joins the processes that share a listening address. If the lock file can't be opened now,
     * each call of {@link #isRunning} retries it.
     */
    static FileLockSibling join(Path folder, InetSocketAddress listen) {
        FileLockSibling sibling = new FileLockSibling(folder.resolve(fileName(listen)));
        sibling.joinIfNeeded();
        return sibling;
    }

    private static String fileName(InetSocketAddress listen) {
        return FILE_PREFIX + listen.toString().replaceAll("\\W+", "-") + FILE_SUFFIX;
    }

    private void joinIfNeeded() {
        if (files != null) {
            return;
        }
        try {
            if (lockFile == null) {
                lockFile =
                        FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            }
            lockFreeSlot();
        } catch (IOException e) {
            logFailure("can't detect a sibling process, as the lock file is unusable: " + e);
        }
    }

    private void lockFreeSlot() throws IOException {
        for (int candidate = 0; candidate <= 1; candidate++) {
            if (lock(lockFile, candidate) != null) {
                slot = candidate;
                files = new SlotFiles(path.getParent(), path.getFileName().toString(), slot);
                deleteFilesOfEarlierProcesses();
                return;
            }
        }
    }

    /**
     * Nothing that an earlier process has shared may be taken for this one's, or for that of a
     * later process, which may be of a version that shares nothing.
     */
    private void deleteFilesOfEarlierProcesses() {
        try {
            files.deleteOwn();
            if (!isLocked(1 - slot)) {
                files.deleteOther();
            }
        } catch (IOException e) {
            logFailure("can't delete what earlier processes have shared: " + e);
        }
    }

    private void logFailure(String message) {
        if (failureLog.shouldLogFailure()) {
            LOG.log(System.Logger.Level.WARNING, message);
        }
    }

    private static FileLock lock(FileChannel channel, int offset) throws IOException {
        try {
            return channel.tryLock(offset, 1, false);
        } catch (OverlappingFileLockException e) {
            return null; // locked by this JVM
        }
    }

    /** {@inheritDoc} This method is polled, so it also retries locks that failed before. */
    @Override
    public boolean isRunning() {
        joinIfNeeded();
        updateListeningLock();
        return isLocked(1 - slot);
    }

    @Override
    public boolean isListening() {
        return isLocked(LISTENING_OFFSET + 1 - slot);
    }

    @Override
    public void setListening(boolean isListening) {
        wantsToListen = isListening;
        updateListeningLock();
    }

    private void updateListeningLock() {
        if (lockFile == null || wantsToListen == (listeningLock != null)) {
            return;
        }
        try {
            if (wantsToListen) {
                listeningLock = lock(lockFile, LISTENING_OFFSET + slot);
            } else {
                listeningLock.release();
                listeningLock = null;
            }
            failureLog.recordSuccess();
        } catch (IOException e) {
            logFailure("can't report to a sibling process whether this one listens: " + e);
        }
    }

    private boolean isLocked(int offset) {
        if (lockFile == null) {
            return false;
        }
        try (FileLock acquired = lock(lockFile, offset)) {
            return acquired == null;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public Optional<ByteBuffer> sharedMemory(int sizeBytes) {
        Path file = path.resolveSibling(path.getFileName() + MEMORY_SUFFIX);
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE)) {
            return Optional.of(channel.map(FileChannel.MapMode.READ_WRITE, 0, sizeBytes));
        } catch (IOException e) {
            logFailure("can't share memory with a sibling process: " + e);
            return Optional.empty();
        }
    }

    @Override
    public Optional<SiblingFiles> files() {
        return Optional.ofNullable(files);
    }

    @Override
    public void close() throws IOException {
        if (lockFile != null) {
            lockFile.close();
        }
    }
}
