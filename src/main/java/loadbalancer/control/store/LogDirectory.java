package loadbalancer.control.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The directory with the files of one log. Nothing is durable before it is forced: {@link
 * LogFile#force} forces the bytes of a file, {@link #force} the creation, renaming and deletion of
 * files.
 */
public interface LogDirectory extends Closeable {
    /**
     * Creates an empty file for writing.
     *
     * @throws IOException if a file of that name exists, or on an I/O error
     */
    LogFile create(String name) throws IOException;

    /**
     * Returns the content of a file.
     *
     * @throws IOException on an I/O error
     */
    byte[] read(String name) throws IOException;

    /**
     * Renames a file atomically; replaces an existing file of the new name.
     *
     * @throws IOException on an I/O error
     */
    void rename(String from, String to) throws IOException;

    /**
     * Deletes a file.
     *
     * @throws IOException on an I/O error
     */
    void delete(String name) throws IOException;

    /**
     * Returns the names of all files, in no particular order.
     *
     * @throws IOException on an I/O error
     */
    List<String> list() throws IOException;

    /**
     * Forces the creation, renaming and deletion of files to disk.
     *
     * @throws IOException on an I/O error, after which it is unknown what is durable
     */
    void force() throws IOException;

    /** A file that is written sequentially from its beginning. */
    interface LogFile extends Closeable {
        /**
         * Appends all bytes.
         *
         * @throws IOException on an I/O error, after which a part of the bytes may be written
         */
        void write(byte[] bytes) throws IOException;

        /**
         * Forces the written bytes to disk. After a failure it is unknown what is durable, and a
         * later successful call doesn't change that, because operating systems drop pages that they
         * failed to write.
         *
         * @throws IOException on an I/O error
         */
        void force() throws IOException;
    }
}
