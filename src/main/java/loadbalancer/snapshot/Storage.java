package loadbalancer.snapshot;

import java.io.IOException;

/**
 * A directory of named files. All operations except {@link #write} are atomic, and all of them
 * block.
 */
public interface Storage {
    /**
     * Writes a file with this content and forces it to the storage device.
     *
     * @throws IOException if writing fails; an incomplete file may remain
     */
    void write(String name, byte[] bytes) throws IOException;

    /**
     * Renames a file atomically and replaces any file with the new name.
     *
     * @throws IOException if renaming fails
     */
    void rename(String from, String to) throws IOException;

    /** Returns whether a regular file with this name exists. */
    boolean has(String name);

    /**
     * Returns the content of a file, truncated to {@code maxBytes + 1} bytes if it is larger than
     * {@code maxBytes}.
     *
     * @throws IOException if the file can't be read
     */
    byte[] read(String name, int maxBytes) throws IOException;

    /**
     * Forces the directory entries, which renames have changed, to the storage device.
     *
     * @throws IOException if that fails
     */
    void sync() throws IOException;
}
