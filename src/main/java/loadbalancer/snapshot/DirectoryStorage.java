package loadbalancer.snapshot;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A folder of the file system. */
public final class DirectoryStorage implements Storage {
    private final Path folder;

    /** Made if it isn't there. */
    public DirectoryStorage(Path folder) {
        this.folder = folder;
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        Files.createDirectories(folder);
        try (FileChannel file =
                FileChannel.open(
                        folder.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer left = ByteBuffer.wrap(bytes);
            while (left.hasRemaining()) {
                file.write(left);
            }
            file.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public boolean has(String name) {
        return Files.isRegularFile(folder.resolve(name));
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
        try (InputStream in = Files.newInputStream(folder.resolve(name))) {
            return in.readNBytes(most + 1);
        }
    }

    @Override
    public void sync() throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }
}
