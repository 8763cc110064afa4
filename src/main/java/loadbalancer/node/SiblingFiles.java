package loadbalancer.node;

import java.io.IOException;

/**
 * Files by which the two processes of a balancer share state. Each process writes files of its own
 * and reads those of the other, so no file has two writers. Thread-safe; all methods block.
 */
public interface SiblingFiles {
    /**
     * Replaces this process's file as a whole: the other process reads either the earlier or the
     * new content.
     *
     * @param name name of the shared state
     * @throws IOException if writing fails; the earlier content stays
     */
    void write(String name, byte[] content) throws IOException;

    /**
     * Returns a stamp of the other process's file, which is a different one for each content that
     * was written; null if there is no file.
     *
     * @throws IOException if that can't be determined
     */
    Object otherStamp(String name) throws IOException;

    /**
     * Returns the other process's file, truncated to {@code maxBytes + 1} bytes if it is larger
     * than {@code maxBytes}.
     *
     * @throws IOException if the file can't be read
     */
    byte[] readOther(String name, int maxBytes) throws IOException;
}
