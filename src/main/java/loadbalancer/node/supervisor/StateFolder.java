package loadbalancer.node.supervisor;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** File names and file handling of the supervisor's state folder. Stateless; each call blocks. */
final class StateFolder {
    /** What a balancer runs: {@link SupervisorState}. */
    static final String STATE_FILE = "runs";

    /** Of files with a {@link SupervisedProcessRecord}. */
    static final String PROCESS_SUFFIX = ".process";

    /** Output of the balancers' processes. */
    static final String BALANCER_LOG = "balancer.log";

    /** Held by the one supervisor of a folder, of whatever version. */
    private static final String LOCK_FILE = "parent.lock";

    private static final String DRAFT_SUFFIX = ".new";

    private StateFolder() {}

    /**
     * Locks a folder until the channel is closed: two supervisors would each start a successor for
     * the other's processes.
     *
     * @throws StateFolderLockedException if another supervisor holds it
     * @throws IOException if the file can't be opened
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
            // Held within this Java machine, which is the same error.
        }
        channel.close();
        throw new StateFolderLockedException(folder);
    }

    /**
     * Writes a complete file or leaves the one that is there.
     *
     * @throws IOException if it can't be written
     */
    static void replace(Path folder, String name, String text) throws IOException {
        Path draft = folder.resolve(name + DRAFT_SUFFIX);
        Files.writeString(draft, text);
        Files.move(
                draft,
                folder.resolve(name),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }
}
