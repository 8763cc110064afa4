package loadbalancer.node;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Arrays;
import java.util.List;

/**
 * Files in the folder that the processes of a balancer share, named {@code PREFIX.NAME.SLOT}. A
 * process writes those of its own slot. Files are not forced to the storage device: they outlive a
 * process, and need not outlive the machine.
 */
final class SlotFiles implements SiblingFiles {
    private static final int SLOTS = 2;
    private static final String TEMPORARY_SUFFIX = ".new";

    private final Path folder;
    private final String prefix;
    private final int slot;

    SlotFiles(Path folder, String prefix, int slot) {
        this.folder = folder;
        this.prefix = prefix;
        this.slot = slot;
    }

    /**
     * Deletes the files that an earlier process of this slot has left.
     *
     * @throws IOException if the folder can't be read or a file can't be deleted
     */
    void deleteOwn() throws IOException {
        delete(slot);
    }

    /**
     * Deletes the files that a process of the other slot has left, which must have ended.
     *
     * @throws IOException if the folder can't be read or a file can't be deleted
     */
    void deleteOther() throws IOException {
        delete(SLOTS - 1 - slot);
    }

    private void delete(int ofSlot) throws IOException {
        String pattern = prefix + ".*." + ofSlot + "{," + TEMPORARY_SUFFIX + "}";
        try (DirectoryStream<Path> left = Files.newDirectoryStream(folder, pattern)) {
            for (Path file : left) {
                Files.deleteIfExists(file);
            }
        }
    }

    @Override
    public void write(String name, byte[] content) throws IOException {
        Path file = path(name, slot);
        Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
        Files.write(temporary, content);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public Object otherStamp(String name) throws IOException {
        try {
            BasicFileAttributes attributes =
                    Files.readAttributes(path(name, SLOTS - 1 - slot), BasicFileAttributes.class);
            return Arrays.asList(
                    attributes.fileKey(), attributes.lastModifiedTime(), attributes.size());
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    @Override
    public byte[] readOther(String name, int maxBytes) throws IOException {
        try (InputStream in = Files.newInputStream(path(name, SLOTS - 1 - slot))) {
            return in.readNBytes(maxBytes + 1);
        }
    }

    private Path path(String name, int ofSlot) {
        return folder.resolve(String.join(".", List.of(prefix, name, String.valueOf(ofSlot))));
    }
}
