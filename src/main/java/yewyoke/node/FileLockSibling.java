package yewyoke.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Tells whether a second process serves at the same address, as while one replaces the other. Each of the two
 * holds a lock on one byte of a common file while it lives, and on another while it lets clients in; the
 * system gives them back however the process ends.
 */
final class FileLockSibling implements SiblingProcess {
    private static final System.Logger LOG = System.getLogger(FileLockSibling.class.getName());

    /** Places 0 and 1 tell who lives, and those from here on who lets clients in. */
    private static final int LISTENS = 2;

    /** Null where the folder can't be written: then nobody can tell, and one process is the usual case. */
    private final FileChannel file;
    private final int place;
    private FileLock listening;

    private FileLockSibling(FileChannel file, int place) {
        this.file = file;
        this.place = place;
    }

    /** Makes this process known among those that listen at the address. */
    static FileLockSibling join(Path folder, InetSocketAddress listen) {
        Path path = folder.resolve("yewyoke-" + listen.toString().replaceAll("\\W+", "-") + ".lock");
        try {
            FileChannel file =
                    FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            return new FileLockSibling(file, lock(file, 0) != null || lock(file, 1) == null ? 0 : 1);
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "can't tell of a second process: " + e);
            return new FileLockSibling(null, 0);
        }
    }

    private static FileLock lock(FileChannel file, int place) throws IOException {
        try {
            return file.tryLock(place, 1, false);
        } catch (OverlappingFileLockException e) {
            return null; // held within this JVM
        }
    }

    @Override
    public boolean lives() {
        return isTaken(1 - place);
    }

    @Override
    public boolean listens() {
        return isTaken(LISTENS + 1 - place);
    }

    @Override
    public void listening(boolean does) {
        try {
            if (does && file != null && listening == null) {
                listening = lock(file, LISTENS + place);
            } else if (!does && listening != null) {
                listening.release();
                listening = null;
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "can't tell a second process of this one: " + e);
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
