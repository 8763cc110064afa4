package loadbalancer.faults;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import loadbalancer.node.SiblingFiles;

/** The files that a process shares with its sibling, in memory. Used on the virtual loop. */
final class VirtualSiblingFiles implements SiblingFiles {
    private final Supplier<VirtualSiblingFiles> other;
    private final Map<String, byte[]> contents = new HashMap<>();

    /**
     * Creates the files of one process.
     *
     * @param other returns the files of its sibling; null if there is none
     */
    VirtualSiblingFiles(Supplier<VirtualSiblingFiles> other) {
        this.other = other;
    }

    @Override
    public void write(String name, byte[] content) {
        contents.put(name, content.clone());
    }

    /** Each content is an array of its own, and so its own stamp. */
    @Override
    public Object otherStamp(String name) {
        VirtualSiblingFiles files = other.get();
        return files == null ? null : files.contents.get(name);
    }

    @Override
    public byte[] readOther(String name, int maxBytes) {
        byte[] content = other.get().contents.get(name);
        return Arrays.copyOf(content, Math.min(content.length, maxBytes + 1));
    }
}
