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
 * Tells whether a second process serves at the same address, as while one replaces the other. Each
 * of the two holds a lock on one byte of a common file while it lives, and on another while it lets
 * clients in; the system gives them back however the process ends.
 */
final class FileLockSibling implements SiblingProcess {
    private static final System.Logger LOG = System.getLogger(FileLockSibling.class.getName());

    /** The lock's name, the same in every version: the two processes may be of different ones. */
    private static final String FILE_PREFIX = "yewyoke-";

    private static final String FILE_SUFFIX = ".lock";

    /** Places 0 and 1 tell who lives, and those from here on who lets clients in. */
    private static final int LISTENS = 2;

    private final Path path;

    /**
     * Null while the folder can't be written: nobody can tell then, and one process is the usual
     * case.
     */
    private FileChannel file;

    private int place;
    private boolean wantsToListen;
    private FileLock listening;
    private final FailureLogFilter failureLog = new FailureLogFilter();

    private FileLockSibling(Path path) {
        this.path = path;
    }

    /** Makes this process known among those that listen at the address, once that can be done. */
    static FileLockSibling join(Path folder, InetSocketAddress listen) {
        FileLockSibling sibling = new FileLockSibling(folder.resolve(fileName(listen)));
        sibling.joinIfApart();
        return sibling;
    }

    private static String fileName(InetSocketAddress listen) {
        return FILE_PREFIX + listen.toString().replaceAll("\\W+", "-") + FILE_SUFFIX;
    }

    private void joinIfApart() {
        if (file != null) {
            return;
        }
        try {
            FileChannel opened =
                    FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            try {
                place = lock(opened, 0) != null || lock(opened, 1) == null ? 0 : 1;
                file = opened;
            } finally {
                if (file == null) {
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

    private static FileLock lock(FileChannel file, int place) throws IOException {
        try {
            return file.tryLock(place, 1, false);
        } catch (OverlappingFileLockException e) {
            return null; // held within this JVM
        }
    }

    /** Asked again and again, and so what failed before is made up for here. */
    @Override
    public boolean lives() {
        joinIfApart();
        tellWhetherListening();
        return isTaken(1 - place);
    }

    @Override
    public boolean listens() {
        return isTaken(LISTENS + 1 - place);
    }

    @Override
    public void listening(boolean does) {
        wantsToListen = does;
        tellWhetherListening();
    }

    private void tellWhetherListening() {
        if (file == null || wantsToListen == (listening != null)) {
            return;
        }
        try {
            if (wantsToListen) {
                listening = lock(file, LISTENS + place);
            } else {
                listening.release();
                listening = null;
            }
            failureLog.recordSuccess();
        } catch (IOException e) {
            logFailure("can't tell a second process of this one: " + e);
        }
    }

    private boolean isTaken(int at) {
        if (file == null) {
            return false;
        }
        try (FileLock free = lock(file, at)) {
            return free == null;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }
}
