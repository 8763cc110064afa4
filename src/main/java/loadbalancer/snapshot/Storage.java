package loadbalancer.snapshot;

import java.io.IOException;

/**
 * A folder of files by their names. Each operation is either done or was never begun, except for
 * {@link #write}. All of them block.
 */
public interface Storage {
    /**
     * Writes a whole file and forces it to the medium.
     *
     * @throws IOException if that fails; a part of the file may be left
     */
    void write(String name, byte[] bytes) throws IOException;

    /**
     * Renames a file at once, and replaces one that had that name.
     *
     * @throws IOException if that fails
     */
    void rename(String from, String to) throws IOException;

    /** Whether there is such a file. */
    boolean has(String name);

    /**
     * Returns the bytes of a file, or its first {@code maxBytes + 1} if it has more than {@code
     * maxBytes}.
     *
     * @throws IOException if it can't be read
     */
    byte[] read(String name, int maxBytes) throws IOException;

    /**
     * Forces the names of the files to the medium.
     *
     * @throws IOException if that fails
     */
    void sync() throws IOException;
}
