package loadbalancer.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A process that locks the same bytes as the version before the program was renamed (commit
 * e2911b3): byte 0 while it runs, byte 2 while it listens; bytes 1 and 3 are those of its sibling.
 * It reads commands from standard input, replies to each with one line, and exits at the end of the
 * input.
 */
public final class FormerLockHolder {
    private final FileChannel file;
    private FileLock listening;

    private FormerLockHolder(FileChannel file) {
        this.file = file;
    }

    /** Locks the file whose path is the first argument. */
    public static void main(String[] args) throws IOException {
        try (FileChannel file =
                        FileChannel.open(
                                Path.of(args[0]),
                                StandardOpenOption.CREATE,
                                StandardOpenOption.WRITE);
                FileLock running = file.tryLock(0, 1, false)) {
            System.out.println(running == null ? "locked" : "running");
            FormerLockHolder holder = new FormerLockHolder(file);
            BufferedReader commands =
                    new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
            String command = commands.readLine();
            while (command != null) {
                System.out.println(holder.run(command));
                command = commands.readLine();
            }
        }
    }

    private String run(String command) throws IOException {
        switch (command) {
            case "listen":
                listening = file.tryLock(2, 1, false);
                return String.valueOf(listening != null);
            case "stop listening":
                listening.release();
                return "true";
            case "is sibling running":
                return String.valueOf(isLocked(1));
            case "is sibling listening":
                return String.valueOf(isLocked(3));
            default:
                throw new IllegalArgumentException(command);
        }
    }

    private boolean isLocked(int offset) throws IOException {
        try (FileLock lock = file.tryLock(offset, 1, false)) {
            return lock == null;
        }
    }
}
