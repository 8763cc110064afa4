package loadbalancer.control.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * A directory of the file system, locked against other writers while it is open. Not thread-safe.
 */
public final class FileLogDirectory implements LogDirectory {
    private static final String LOCK_FILE = "lock";

    private final Path folder;
    private final FileChannel lockFile;

    private FileLogDirectory(Path folder, FileChannel lockFile) {
        this.folder = folder;
        this.lockFile = lockFile;
    }

    /**
     * Opens a directory; creates it if it doesn't exist.
     *
     * @throws IOException if another process or object has the directory open, or on an I/O error
     */
    public static FileLogDirectory open(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel lockFile =
                FileChannel.open(
                        folder.resolve(LOCK_FILE),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        if (!tryLock(lockFile)) {
            lockFile.close();
            throw new IOException(folder + ": the directory is locked by another writer");
        }
        return new FileLogDirectory(folder, lockFile);
    }

    /** Locks the file and returns whether this succeeded; closing the channel releases the lock. */
    private static boolean tryLock(FileChannel lockFile) throws IOException {
        try {
            FileLock lock = lockFile.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            return false;
        }
    }

    @Override
    public LogFile create(String name) throws IOException {
        return new ChannelFile(
                FileChannel.open(
                        folder.resolve(name),
                        StandardOpenOption.CREATE_NEW,
                        StandardOpenOption.WRITE));
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.delete(folder.resolve(name));
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).toList();
        }
    }

    @Override
    public void force() throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lockFile.close();
    }

    private record ChannelFile(FileChannel channel) implements LogFile {
        @Override
        public void write(byte[] bytes) throws IOException {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                channel.write(remaining);
            }
        }

        @Override
        public void force() throws IOException {
            channel.force(true);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
