package loadbalancer.snapshot;

import java.io.IOException;

/**
 * One folder of files by their names; each step is either done or was never begun, but for a write.
 */
public interface Storage {
    /** Writes a whole file and forces it to the medium; one that fails may leave a part of it. */
    void write(String name, byte[] bytes) throws IOException;

    /** Gives a file another name at once, in place of what had that name. */
    void rename(String from, String to) throws IOException;

    /** Whether there is such a file. */
    boolean has(String name);

    /** The bytes of a file, {@code most} and one more of them if it has more. */
    byte[] read(String name, int most) throws IOException;

    /** Forces the names to the medium. */
    void sync() throws IOException;
}
