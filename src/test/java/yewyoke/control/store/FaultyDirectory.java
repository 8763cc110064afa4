package yewyoke.control.store;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Files in memory that tell what is durable from what is only readable. One chosen step fails: from then on
 * the process either is gone or sees an error. {@link #crash} leaves what a lost machine may leave: forced
 * bytes, a part of the others, and the names up to some point since the last force of the directory.
 */
final class FaultyDirectory implements LogDirectory {
    private static final int NEVER = Integer.MAX_VALUE;

    /** Readable bytes; the first {@code durable} of them outlast a crash. */
    private static final class Content {
        private byte[] bytes = new byte[0];
        private int durable;
        /** A force has failed: these bytes are never written to the medium, whatever a later force says. */
        private boolean lost;
    }

    private final Random random;
    private final List<Map<String, Content>> namesSinceForce = new ArrayList<>();
    private Map<String, Content> names = new HashMap<>();
    private int steps;
    private int failingStep = NEVER;
    private boolean stopsAtFailure;
    private boolean stopped;

    FaultyDirectory(long seed) {
        random = new Random(seed);
        namesSinceForce.add(Map.of());
    }

    /** How many steps that may fail were taken. */
    int steps() {
        return steps;
    }

    /** The step of that number from now on, from 1, fails; with {@code stops}, all later ones do too. */
    void failAt(int step, boolean stops) {
        failingStep = steps + step;
        stopsAtFailure = stops;
    }

    /** The machine goes down and comes back; nothing fails any more. */
    void crash() {
        names = new HashMap<>(namesSinceForce.get(random.nextInt(namesSinceForce.size())));
        for (Content content : names.values()) {
            int extra = content.lost ? 0 : random.nextInt(content.bytes.length - content.durable + 1);
            content.bytes = Arrays.copyOf(content.bytes, content.durable + extra);
            content.durable = content.bytes.length;
            content.lost = false;
        }
        namesSinceForce.clear();
        namesSinceForce.add(Map.copyOf(names));
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
        rememberNames();
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

    private void rememberNames() {
        namesSinceForce.add(Map.copyOf(names));
    }

    private Content content(String name) throws IOException {
        Content content = names.get(name);
        if (content == null) {
            throw new FileNotFoundException(name);
        }
        return content;
    }

    @Override public LogFile create(String name) throws IOException {
        step();
        Content content = new Content();
        if (names.putIfAbsent(name, content) != null) {
            throw new IOException(name + " is there already");
        }
        rememberNames();
        return new FaultyFile(content);
    }

    @Override public byte[] read(String name) throws IOException {
        return content(name).bytes.clone();
    }

    @Override public void rename(String from, String to) throws IOException {
        step();
        names.put(to, content(from));
        names.remove(from);
        rememberNames();
    }

    @Override public void delete(String name) throws IOException {
        step();
        content(name);
        names.remove(name);
        rememberNames();
    }

    @Override public List<String> list() {
        return List.copyOf(names.keySet());
    }

    @Override public void force() throws IOException {
        step();
        namesSinceForce.clear();
        rememberNames();
    }

    @Override public void close() { }

    private final class FaultyFile implements LogFile {
        private final Content content;

        FaultyFile(Content content) {
            this.content = content;
        }

        @Override public void write(byte[] bytes) throws IOException {
            boolean fails = failsNow();
            int written = fails ? random.nextInt(bytes.length + 1) : bytes.length;
            int before = content.bytes.length;
            content.bytes = Arrays.copyOf(content.bytes, before + written);
            System.arraycopy(bytes, 0, content.bytes, before, written);
            if (fails) {
                throw new IOException("injected failure");
            }
        }

        @Override public void force() throws IOException {
            if (failsNow()) {
                content.lost = true;
                throw new IOException("injected failure");
            }
            if (!content.lost) {
                content.durable = content.bytes.length;
            }
        }

        @Override public void close() { }
    }
}
