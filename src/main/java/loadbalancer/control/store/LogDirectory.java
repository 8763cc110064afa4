package loadbalancer.control.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The files of one log, in one folder. Nothing is durable before it is forced: the bytes of a file
 * by {@link LogFile#force}, names that were created, renamed or deleted by {@link #force}.
 */
public interface LogDirectory extends Closeable {
    /**
     * Creates an empty file for writing.
     *
     * @throws IOException if there is one of that name, or on an I/O error
     */
    LogFile create(String name) throws IOException;

    /**
     * All bytes of a file.
     *
     * @throws IOException on an I/O error
     */
    byte[] read(String name) throws IOException;

    /**
     * Renames a file atomically, replacing any of the new name.
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
     * The names of all files, in no particular order.
     *
     * @throws IOException on an I/O error
     */
    List<String> list() throws IOException;

    /**
     * Forces all names to the medium.
     *
     * @throws IOException on an I/O error; what is durable is then unknown
     */
    void force() throws IOException;

    /** A file that is being written, from its beginning on. */
    interface LogFile extends Closeable {
        /**
         * Appends all bytes.
         *
         * @throws IOException on an I/O error; a part of them may be written
         */
        void write(byte[] bytes) throws IOException;

        /**
         * Forces what was written to the medium. After a failure it is unknown what is durable, and
         * a second call that succeeds says nothing about it: systems drop pages that they failed to
         * write.
         *
         * @throws IOException on an I/O error
         */
        void force() throws IOException;
    }
}
