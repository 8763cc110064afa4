package loadbalancer.snapshot;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Storage in a directory of the file system, which the first write creates. */
public final class DirectoryStorage implements Storage {
    private final Path directory;

    /** Creates a storage in a directory, which need not exist yet. */
    public DirectoryStorage(Path directory) {
        this.directory = directory;
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Files.createDirectories(directory);
        try (FileChannel file =
                FileChannel.open(
                        directory.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                file.write(remaining);
            }
            file.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public boolean has(String name) {
        return Files.isRegularFile(directory.resolve(name));
    }

    @Override
    public byte[] read(String name, int maxBytes) throws IOException {
        try (InputStream in = Files.newInputStream(directory.resolve(name))) {
            return in.readNBytes(maxBytes + 1);
        }
    }

    @Override
    public void sync() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
