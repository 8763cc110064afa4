package loadbalancer.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;

/**
 * Limits on a control server's subscribers: section {@code [limits]} of its settings file.
 *
 * @param maxSubscribers maximum number of concurrent subscribers
 * @param admissionsPerSecond maximum rate at which subscribers are admitted
 * @param bytesPerSecond maximum send rate to all subscribers together
 * @param subscriberBytesPerSecond maximum send rate to one subscriber
 * @param partBytes target size of one part of an update
 * @param heartbeatMillis maximum interval between two messages to a subscriber
 * @param retainedDeletions number of deletions that are retained for subscribers that reconnect
 */
public record PublishLimitsSection(
        int maxSubscribers,
        double admissionsPerSecond,
        long bytesPerSecond,
        long subscriberBytesPerSecond,
        int partBytes,
        long heartbeatMillis,
        int retainedDeletions) {
    /** Limits that apply if the section or a key is absent. */
    public static final PublishLimitsSection DEFAULT =
            new PublishLimitsSection(1_000, 50, 64 << 20, 4 << 20, 16 << 10, 2_000, 100_000);

    static final List<String> KEYS =
            List.of(
                    "max-subscribers",
                    "admissions-per-second",
                    "bytes-per-second",
                    "subscriber-bytes-per-second",
                    "part-bytes",
                    "heartbeat-ms",
                    "retained-deletions");

    private static final int MAX_SUBSCRIBERS = 100_000;
    private static final double MAX_ADMISSIONS = 100_000;
    private static final long MIN_BYTES = 1 << 10;
    private static final long MAX_BYTES = 1L << 40;

    /**
     * Upper bound of the target size. A part is one line and may exceed its target size by one
     * resource; subscribers accept lines of up to 1 MiB.
     */
    private static final int MAX_PART_BYTES = 256 << 10;

    private static final long MIN_HEARTBEAT_MILLIS = 100;
    private static final long MAX_HEARTBEAT_MILLIS = 10_000;
    private static final int MAX_DELETIONS = 10_000_000;

    static PublishLimitsSection read(Path file, JsonNode section)
            throws InvalidOperatorFileException {
        SectionReader reader = new SectionReader(file, "limits", section);
        PublishLimitsSection limits =
                new PublishLimitsSection(
                        maxSubscribers(reader),
                        admissionsPerSecond(reader),
                        bytes(reader, "bytes-per-second", DEFAULT.bytesPerSecond, MAX_BYTES),
                        bytes(
                                reader,
                                "subscriber-bytes-per-second",
                                DEFAULT.subscriberBytesPerSecond,
                                MAX_BYTES),
                        (int) bytes(reader, "part-bytes", DEFAULT.partBytes, MAX_PART_BYTES),
                        heartbeatMillis(reader),
                        retainedDeletions(reader));
        reader.check(
                limits.subscriberBytesPerSecond <= limits.bytesPerSecond,
                "subscriber-bytes-per-second",
                "exceeds limits.bytes-per-second, " + limits.bytesPerSecond);
        return limits;
    }

    private static int maxSubscribers(SectionReader reader) throws InvalidOperatorFileException {
        return (int) reader.integer("max-subscribers", DEFAULT.maxSubscribers, 1, MAX_SUBSCRIBERS);
    }

    private static double admissionsPerSecond(SectionReader reader)
            throws InvalidOperatorFileException {
        return reader.positive(
                "admissions-per-second", DEFAULT.admissionsPerSecond, MAX_ADMISSIONS);
    }

    private static long bytes(SectionReader reader, String key, long defaultValue, long max)
            throws InvalidOperatorFileException {
        return reader.integer(key, defaultValue, MIN_BYTES, max);
    }

    private static long heartbeatMillis(SectionReader reader) throws InvalidOperatorFileException {
        return reader.integer(
                "heartbeat-ms",
                DEFAULT.heartbeatMillis,
                MIN_HEARTBEAT_MILLIS,
                MAX_HEARTBEAT_MILLIS);
    }

    private static int retainedDeletions(SectionReader reader) throws InvalidOperatorFileException {
        return (int)
                reader.integer("retained-deletions", DEFAULT.retainedDeletions, 0, MAX_DELETIONS);
    }
}
