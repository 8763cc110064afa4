package loadbalancer.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import loadbalancer.logging.FailureLogFilter;

/**
 * Detects a second process at the same address by file locks. Each of the two holds a lock on one
 * byte of a common file while it runs, and on another while it accepts clients; the kernel releases
 * them however the process ends. On the loop.
 */
final class FileLockSibling implements SiblingProcess {
    private static final System.Logger LOG = System.getLogger(FileLockSibling.class.getName());

    /** The lock's name, the same in every version: the two processes may be of different ones. */
    private static final String FILE_PREFIX = "yewyoke-";

    private static final String FILE_SUFFIX = ".lock";

    /** Bytes 0 and 1 are locked by running processes, this one and the next while they listen. */
    private static final int LISTENING_OFFSET = 2;

    private final Path path;

    /**
     * Null while the folder can't be written: no sibling can be detected then, and one process is
     * assumed.
     */
    private FileChannel lockFile;

    /** 0 or 1: which of the two this process is. */
    private int slot;

    private boolean wantsToListen;
    private FileLock listeningLock;
    private final FailureLogFilter failureLog = new FailureLogFilter();

    private FileLockSibling(Path path) {
        this.path = path;
    }

    /** Joins the processes that listen at the address, at once or as soon as that can be done. */
    static FileLockSibling join(Path folder, InetSocketAddress listen) {
        FileLockSibling sibling = new FileLockSibling(folder.resolve(fileName(listen)));
        sibling.joinIfNeeded();
        return sibling;
    }

    private static String fileName(InetSocketAddress listen) {
        return FILE_PREFIX + listen.toString().replaceAll("\\W+", "-") + FILE_SUFFIX;
    }

    private void joinIfNeeded() {
        if (lockFile != null) {
            return;
        }
        try {
            FileChannel opened =
                    FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            try {
                slot = lock(opened, 0) != null || lock(opened, 1) == null ? 0 : 1;
                lockFile = opened;
            } finally {
                if (lockFile == null) {
                    opened.close();
                }
            }
        } catch (IOException e) {
            logFailure("can't tell of a second process: " + e);
        }
    }

    private void logFailure(String line) {
        if (failureLog.shouldLogFailure()) {
            LOG.log(System.Logger.Level.WARNING, line);
        }
    }

    private static FileLock lock(FileChannel channel, int offset) throws IOException {
        try {
            return channel.tryLock(offset, 1, false);
        } catch (OverlappingFileLockException e) {
            return null; // held within this JVM
        }
    }

    /** Also retries what failed before, as this is polled. */
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
            logFailure("can't tell a second process of this one: " + e);
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
    public void close() throws IOException {
        if (lockFile != null) {
            lockFile.close();
        }
    }
}
