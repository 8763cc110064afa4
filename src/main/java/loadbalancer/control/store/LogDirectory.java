package loadbalancer.control.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The files of one log, in one folder. Nothing is sure to outlast a crash before it is forced: the
 * bytes of a file by {@link LogFile#force}, names that were created, renamed or deleted by {@link
 * #force}.
 */
public interface LogDirectory extends Closeable {
    /** Creates an empty file for writing; fails if there is one of that name. */
    LogFile create(String name) throws IOException;

    /** All bytes of a file. */
    byte[] read(String name) throws IOException;

    /** Gives a file another name in one step, in place of what had that name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;

    /** The names of all files, in no particular order. */
    List<String> list() throws IOException;

    /** Forces all names to the medium. */
    void force() throws IOException;

    /** A file that is being written, from its beginning on. */
    interface LogFile extends Closeable {
        /** Writes all bytes at the end; one that fails may leave a part of them. */
        void write(byte[] bytes) throws IOException;

        /**
         * Forces what was written to the medium. After a failure nobody knows what of it is there,
         * and a second call that succeeds says nothing about it: systems drop pages that they
         * failed to write.
         */
        void force() throws IOException;
    }
}
