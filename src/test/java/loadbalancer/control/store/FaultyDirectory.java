package loadbalancer.control.store;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * An in-memory directory with fault injection that distinguishes durable from merely readable data.
 * One selected step fails, and optionally all later steps do, as after a crash of the process.
 * {@link #crash} simulates a crash of the machine: forced bytes and names survive, as do a random
 * prefix of the other bytes and a random subset of the name changes since the last force.
 */
final class FaultyDirectory implements LogDirectory {
    private static final int NEVER = Integer.MAX_VALUE;

    /** The readable bytes of a file; the first {@code durable} of them survive a crash. */
    private static final class Content {
        private byte[] bytes = new byte[0];
        private int durable;

        /** Whether a force has failed, after which no later force makes the bytes durable. */
        private boolean lost;
    }

    /** A change of file names, with the removed and the added name; null for none. */
    private record NameChange(String removed, String added, Content content) {
        void applyTo(Map<String, Content> names) {
            names.remove(removed);
            if (added != null) {
                names.put(added, content);
            }
        }
    }

    private final Random random;
    private final Map<String, Content> durableNames = new HashMap<>();
    private final List<NameChange> changesSinceForce = new ArrayList<>();
    private final Map<String, Content> names = new HashMap<>();
    private int steps;
    private int failingStep = NEVER;
    private boolean stopsAtFailure;
    private boolean stopped;

    FaultyDirectory(long seed) {
        random = new Random(seed);
    }

    /** Returns the number of executed steps that may fail. */
    int steps() {
        return steps;
    }

    /**
     * Makes a later step fail; with {@code stops}, all steps after it fail too.
     *
     * @param step the number of the step, where 1 is the next step
     */
    void failAt(int step, boolean stops) {
        failingStep = steps + step;
        stopsAtFailure = stops;
    }

    /** Simulates a crash and restart of the machine, and ends the fault injection. */
    void crash() {
        for (NameChange change : changesSinceForce) {
            if (random.nextBoolean()) {
                change.applyTo(durableNames);
            }
        }
        changesSinceForce.clear();
        names.clear();
        names.putAll(durableNames);
        for (Content content : names.values()) {
            int extra =
                    content.lost ? 0 : random.nextInt(content.bytes.length - content.durable + 1);
            content.bytes = Arrays.copyOf(content.bytes, content.durable + extra);
            content.durable = content.bytes.length;
            content.lost = false;
        }
        restartProcess();
    }

    /** Simulates a restart of the process without a machine crash, and ends the fault injection. */
    void restartProcess() {
        failingStep = NEVER;
        stopped = false;
    }

    /** Replaces the content of a file durably. */
    void put(String name, byte[] bytes) {
        Content content = names.computeIfAbsent(name, absent -> new Content());
        content.bytes = bytes;
        content.durable = bytes.length;
        durableNames.put(name, content);
    }

    private boolean failsNow() throws IOException {
        if (stopped) {
            throw new IOException("the process has crashed");
        }
        steps++;
        boolean fails = steps == failingStep;
        stopped = fails && stopsAtFailure;
        return fails;
    }

    private void step() throws IOException {
        if (failsNow()) {
            throw new IOException("injected failure");
        }
    }

    private void change(NameChange change) {
        change.applyTo(names);
        changesSinceForce.add(change);
    }

    private Content content(String name) throws IOException {
        Content content = names.get(name);
        if (content == null) {
            throw new FileNotFoundException(name);
        }
        return content;
    }

    @Override
    public LogFile create(String name) throws IOException {
        step();
        Content content = new Content();
        if (names.containsKey(name)) {
            throw new IOException(name + " already exists");
        }
        change(new NameChange(null, name, content));
        return new FaultyFile(content);
    }

    @Override
    public byte[] read(String name) throws IOException {
        return content(name).bytes.clone();
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step();
        change(new NameChange(from, to, content(from)));
    }

    @Override
    public void delete(String name) throws IOException {
        step();
        content(name);
        change(new NameChange(name, null, null));
    }

    @Override
    public List<String> list() {
        return List.copyOf(names.keySet());
    }

    @Override
    public void force() throws IOException {
        step();
        durableNames.clear();
        durableNames.putAll(names);
        changesSinceForce.clear();
    }

    @Override
    public void close() {}

    private final class FaultyFile implements LogFile {
        private final Content content;

        FaultyFile(Content content) {
            this.content = content;
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            boolean fails = failsNow();
            int written = fails ? random.nextInt(bytes.length + 1) : bytes.length;
            int before = content.bytes.length;
            content.bytes = Arrays.copyOf(content.bytes, before + written);
            System.arraycopy(bytes, 0, content.bytes, before, written);
            if (fails) {
                throw new IOException("injected failure");
            }
        }

        @Override
        public void force() throws IOException {
            if (failsNow()) {
                content.lost = true;
                throw new IOException("injected failure");
            }
            if (!content.lost) {
                content.durable = content.bytes.length;
            }
        }

        @Override
        public void close() {}
    }
}
