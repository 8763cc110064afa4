package loadbalancer.node.supervisor;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Names, locks and replaces the files of the supervisor's state folder. Stateless; each call blocks
 * on the disk.
 */
final class StateFolder {
    /** The file of the {@link SupervisorState}. */
    static final String STATE_FILE = "runs";

    /** Suffix of the files that each contain a {@link SupervisedProcessRecord}. */
    static final String PROCESS_SUFFIX = ".process";

    /** Output of the balancer processes. */
    static final String BALANCER_LOG = "balancer.log";

    /**
     * Locked by the one supervisor of a folder. The name is the same in all versions, so that
     * supervisors of two versions exclude each other.
     */
    private static final String LOCK_FILE = "parent.lock";

    private static final String TEMPORARY_SUFFIX = ".new";

    private StateFolder() {}

    /**
     * Locks a folder until the returned channel is closed. Without the lock, two supervisors would
     * each start a successor for the other's processes.
     *
     * @throws StateFolderLockedException if another supervisor holds the lock
     * @throws IOException if the lock file can't be opened
     */
    static FileChannel lock(Path folder) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(LOCK_FILE),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        try {
            FileLock lock = channel.tryLock();
            if (lock != null) {
                return channel;
            }
        } catch (OverlappingFileLockException e) {
            // Another supervisor in this JVM holds the lock, which is reported in the same way.
        }
        channel.close();
        throw new StateFolderLockedException(folder);
    }

    /**
     * Replaces a file atomically; if writing fails, the existing file stays unchanged.
     *
     * @throws IOException if the file can't be written
     */
    static void replace(Path folder, String name, String text) throws IOException {
        Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
        Files.writeString(temporary, text);
        Files.move(
                temporary,
                folder.resolve(name),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }
}
