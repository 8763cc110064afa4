package loadbalancer.faults;

import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.snapshot.Storage;

/** A disk that outlives processes; it can be full, and a crash can strike at any step. */
final class MemoryDisk implements Storage {
    private final Map<String, byte[]> files = new TreeMap<>();
    private boolean full;
    private int stepsLeft = Integer.MAX_VALUE;

    /**
     * The machine stops behind so many steps more; the one that it strikes is done by half if it
     * can be.
     */
    static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    void full(boolean now) {
        full = now;
    }

    void crashAfter(int steps) {
        stepsLeft = steps;
    }

    private boolean strikes() {
        return stepsLeft-- == 0;
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
        if (full) {
            files.put(name, Arrays.copyOf(bytes, bytes.length / 3));
            throw new IOException("No space left on device");
        }
        if (strikes()) {
            files.put(name, Arrays.copyOf(bytes, bytes.length / 2));
            throw new Crash();
        }
        files.put(name, bytes.clone());
    }

    @Override
    public void rename(String from, String to) throws IOException {
        if (strikes()) {
            throw new Crash();
        }
        byte[] bytes = files.remove(from);
        if (bytes == null) {
            throw new IOException("no such file: " + from);
        }
        files.put(to, bytes);
    }

    @Override
    public boolean has(String name) {
        return files.containsKey(name);
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
        byte[] bytes = files.get(name);
        if (bytes == null) {
            throw new IOException("no such file: " + name);
        }
        return Arrays.copyOf(bytes, Math.min(bytes.length, most + 1));
    }

    @Override
    public void sync() {
        if (strikes()) {
            throw new Crash();
        }
    }

    Map<String, byte[]> files() {
        return files;
    }
}
