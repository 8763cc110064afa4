package loadbalancer.faults.process.shim;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The page of shared memory by which the rig drives {@code syscall_faults.c} in one balancer's
 * processes. Its words are described there. A page stays in force until it is changed, over
 * restarts too.
 */
public final class SyscallFaultPage {
    /** For calls that go on failing until they are told not to. */
    public static final long WITHOUT_LIMIT = -1;

    private static final int BYTES = 4_096;
    private static final int CLOCK_OFFSET = 0;
    private static final int HOLD_UP_MICROS = 1;
    private static final int HOLD_UP_CHANCE = 2;
    private static final int FIRST_KIND = 8;
    private static final int WORDS_PER_KIND = 4;
    private static final int MILLION = 1_000_000;
    private static final String PAGE_VARIABLE = "LOAD_BALANCER_FAULT_PAGE";

    private final Path library;
    private final Path file;
    private final MappedByteBuffer words;

    /** Makes a page in that file, on which nothing fails, for processes that load the library. */
    public SyscallFaultPage(Path library, Path file) throws IOException {
        this.library = library;
        this.file = file;
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE)) {
            words = channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES);
            words.order(ByteOrder.nativeOrder());
        }
    }

    /** What a process needs in its environment to be driven by this page. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), PAGE_VARIABLE, file.toString());
    }

    /** The wall clock is off by so many milliseconds from now on; the monotonic clock is not. */
    public void wallClockOff(long ms) {
        words.putLong(CLOCK_OFFSET * Long.BYTES, TimeUnit.MILLISECONDS.toNanos(ms));
    }

    /** Writes to sockets are held up with that chance, for a time under a second. */
    public void holdUpWrites(long micros, double chance) {
        words.putLong(HOLD_UP_MICROS * Long.BYTES, micros);
        words.putLong(HOLD_UP_CHANCE * Long.BYTES, perMillion(chance));
    }

    /** Calls of that kind fail with the errno and that chance, at most so often. */
    public void fail(FaultyCall call, Errno errno, double chance, long most) {
        int at = place(call);
        words.putLong(at + Long.BYTES, 0); // off while it changes
        words.putLong(at, errno.number);
        words.putLong(at + 3 * Long.BYTES, most);
        words.putLong(at + Long.BYTES, perMillion(chance));
    }

    /** Calls of that kind succeed again. */
    public void heal(FaultyCall call) {
        words.putLong(place(call) + Long.BYTES, 0);
    }

    /** How many calls of that kind were made to fail until now. */
    public long injected(FaultyCall call) {
        return words.getLong(place(call) + 2 * Long.BYTES);
    }

    private static int place(FaultyCall call) {
        return (FIRST_KIND + WORDS_PER_KIND * call.ordinal()) * Long.BYTES;
    }

    private static long perMillion(double chance) {
        return Math.round(chance * MILLION);
    }
}
