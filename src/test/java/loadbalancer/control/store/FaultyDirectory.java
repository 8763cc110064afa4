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
 * Files in memory that know what is durable and what is only readable. One chosen step fails: from
 * then on the process has crashed or sees an error. {@link #crash} leaves what a lost machine may
 * leave: forced bytes and a part of the others, forced names and any of the changes of names since
 * then.
 */
final class FaultyDirectory implements LogDirectory {
    private static final int NEVER = Integer.MAX_VALUE;

    /** Readable bytes; the first {@code durable} of them outlast a crash. */
    private static final class Content {
        private byte[] bytes = new byte[0];
        private int durable;

        /**
         * A force has failed: these bytes are never written to the medium, whatever a later force
         * says.
         */
        private boolean lost;
    }

    /** A change of names: what it takes away and what it adds; null for none. */
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

    /** How many steps that may fail were taken. */
    int steps() {
        return steps;
    }

    /**
     * The step of that number from now on, from 1, fails; with {@code stops}, all later ones do
     * too.
     */
    void failAt(int step, boolean stops) {
        failingStep = steps + step;
        stopsAtFailure = stops;
    }

    /** The machine goes down and comes back; nothing fails any more. */
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

    /** The process starts anew on a machine that stayed up; nothing fails any more. */
    void restartProcess() {
        failingStep = NEVER;
        stopped = false;
    }

    /** Replaces the bytes of a file, durable. */
    void put(String name, byte[] bytes) {
        Content content = names.computeIfAbsent(name, absent -> new Content());
        content.bytes = bytes;
        content.durable = bytes.length;
        durableNames.put(name, content);
    }

    private boolean failsNow() throws IOException {
        if (stopped) {
            throw new IOException("the process is gone");
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
            throw new IOException(name + " is there already");
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
