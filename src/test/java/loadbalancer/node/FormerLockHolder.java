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
 * A process that locks as the program before it was renamed (commit e2911b3): byte 0 while it
 * lives, byte 2 while it listens; bytes 1 and 3 are those of its sibling. Commands come on standard
 * input, and each gets one line; it ends with its input.
 */
public final class FormerLockHolder {
    private final FileChannel file;
    private FileLock listening;

    private FormerLockHolder(FileChannel file) {
        this.file = file;
    }

    /** Locks that file. */
    public static void main(String[] args) throws IOException {
        try (FileChannel file =
                        FileChannel.open(
                                Path.of(args[0]),
                                StandardOpenOption.CREATE,
                                StandardOpenOption.WRITE);
                FileLock lives = file.tryLock(0, 1, false)) {
            System.out.println(lives == null ? "taken" : "lives");
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
            case "sibling lives":
                return String.valueOf(isTaken(1));
            case "sibling listens":
                return String.valueOf(isTaken(3));
            default:
                throw new IllegalArgumentException(command);
        }
    }

    private boolean isTaken(int place) throws IOException {
        try (FileLock lock = file.tryLock(place, 1, false)) {
            return lock == null;
        }
    }
}
