package loadbalancer.snapshot;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The last two of one kind of file on a disk. A new one is written beside them, forced, and then
 * takes its name; a crash at any step leaves one that is whole.
 */
public final class TwoGenerationFiles {
    private final Storage disk;
    private final String last;
    private final String before;
    private final String next;

    /** Of that name; {@code writer} tells processes apart that write at the same time. */
    public TwoGenerationFiles(Storage disk, String name, String writer) {
        this.disk = disk;
        this.last = name;
        this.before = name + ".1";
        this.next = name + "." + writer + ".new";
    }

    /** Understands the bytes of a file. */
    public interface Form<T> {
        /** Refuses what it can't use. */
        T read(byte[] bytes) throws InvalidSnapshotException;
    }

    /** What was found, or null; and a line for each file that was refused. */
    public record Found<T>(T content, List<String> refused) {}

    /** Keeps one. */
    public void write(byte[] bytes) throws IOException {
        disk.write(next, bytes);
        if (disk.has(last)) {
            disk.rename(last, before);
        }
        disk.rename(next, last);
        disk.sync();
    }

    /** The last one that can be read, of {@code most} bytes. */
    public <T> Found<T> read(int most, Form<T> form) {
        List<String> refused = new ArrayList<>();
        for (String name : List.of(last, before)) {
            if (disk.has(name)) {
                try {
                    return new Found<>(form.read(disk.read(name, most)), refused);
                } catch (IOException e) {
                    refused.add(name + " can't be read: " + e.getMessage());
                } catch (InvalidSnapshotException e) {
                    refused.add(name + " is " + e.getMessage());
                }
            }
        }
        return new Found<>(null, refused);
    }
}
