package loadbalancer.faults.control;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import loadbalancer.control.store.LogDirectory;

/**
 * A folder in memory that loses at a crash what was not forced: of the names that were changed a
 * drawn number of the last, of the bytes of each file a drawn number of the last, or these bytes
 * are zeros.
 */
final class MemoryLogDirectory implements LogDirectory {
    private static final int NO_CRASH = Integer.MAX_VALUE;
    private static final int TAIL_OF_ZEROS = 4;

    private final RandomGenerator random;
    private final Map<String, MemoryFile> files = new TreeMap<>();
    private final Map<String, MemoryFile> forcedNames = new TreeMap<>();
    private final List<Consumer<Map<String, MemoryFile>>> unforcedSteps = new ArrayList<>();
    private int stepsLeft = NO_CRASH;
    private boolean byFailure;

    /** The machine stops at this step. */
    static final class Crash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** This step fails. */
    static final class DiskFailure extends IOException {
        private static final long serialVersionUID = 1L;

        DiskFailure() {
            super("input/output error");
        }
    }

    /** The bytes of a file, whatever its name is. */
    private static final class MemoryFile {
        private byte[] bytes = {};
        private int forced;
    }

    MemoryLogDirectory(RandomGenerator random) {
        this.random = random;
    }

    /** The machine crashes behind so many steps that write, or that step fails. */
    void crashAfter(int steps, boolean failure) {
        stepsLeft = steps;
        byFailure = failure;
    }

    /** Takes {@link #crashAfter} back. */
    void crashNoMore() {
        stepsLeft = NO_CRASH;
    }

    private void step() throws IOException {
        if (stepsLeft == NO_CRASH || stepsLeft-- > 0) {
            return;
        }
        stepsLeft = NO_CRASH;
        if (byFailure) {
            throw new DiskFailure();
        }
        throw new Crash();
    }

    /** What is on the medium is all that is left. */
    void loseUnforced() {
        crashNoMore();
        int kept = random.nextInt(unforcedSteps.size() + 1);
        unforcedSteps.subList(0, kept).forEach(change -> change.accept(forcedNames));
        unforcedSteps.clear();
        files.clear();
        files.putAll(forcedNames);
        files.values().forEach(this::loseTail);
    }

    private void loseTail(MemoryFile file) {
        int unforced = file.bytes.length - file.forced;
        if (unforced > 0) {
            int length = file.forced + random.nextInt(unforced + 1);
            file.bytes = Arrays.copyOf(file.bytes, length);
            if (random.nextInt(TAIL_OF_ZEROS) == 0) {
                Arrays.fill(file.bytes, file.forced, length, (byte) 0);
            }
        }
        file.forced = file.bytes.length;
    }

    /** A backup: what is forced now. */
    MemoryLogDirectory copy() {
        MemoryLogDirectory copy = new MemoryLogDirectory(random);
        forcedNames.forEach(
                (name, file) -> {
                    MemoryFile copied = new MemoryFile();
                    copied.bytes = Arrays.copyOf(file.bytes, file.forced);
                    copied.forced = file.forced;
                    copy.files.put(name, copied);
                });
        copy.forcedNames.putAll(copy.files);
        return copy;
    }

    private void change(Consumer<Map<String, MemoryFile>> change) throws IOException {
        step();
        change.accept(files);
        unforcedSteps.add(change);
    }

    private MemoryFile file(String name) throws IOException {
        MemoryFile file = files.get(name);
        if (file == null) {
            throw new IOException("no such file: " + name);
        }
        return file;
    }

    @Override
    public LogFile create(String name) throws IOException {
        if (files.containsKey(name)) {
            throw new IOException("file exists: " + name);
        }
        MemoryFile file = new MemoryFile();
        change(names -> names.put(name, file));
        return new OpenFile(file);
    }

    @Override
    public byte[] read(String name) throws IOException {
        return file(name).bytes.clone();
    }

    @Override
    public void rename(String from, String to) throws IOException {
        MemoryFile file = file(from);
        change(
                names -> {
                    names.remove(from);
                    names.put(to, file);
                });
    }

    @Override
    public void delete(String name) throws IOException {
        file(name);
        change(names -> names.remove(name));
    }

    @Override
    public List<String> list() {
        return List.copyOf(files.keySet());
    }

    @Override
    public void force() throws IOException {
        step();
        forcedNames.clear();
        forcedNames.putAll(files);
        unforcedSteps.clear();
    }

    @Override
    public void close() {}

    /** A file that is being written. */
    private final class OpenFile implements LogFile {
        private final MemoryFile file;

        OpenFile(MemoryFile file) {
            this.file = file;
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            ByteArrayOutputStream joined = new ByteArrayOutputStream();
            joined.writeBytes(file.bytes);
            joined.writeBytes(bytes);
            file.bytes = joined.toByteArray();
            step();
        }

        @Override
        public void force() throws IOException {
            boolean effectFirst = random.nextBoolean();
            if (effectFirst) {
                file.forced = file.bytes.length;
            }
            step();
            file.forced = file.bytes.length;
        }

        @Override
        public void close() {}
    }
}
