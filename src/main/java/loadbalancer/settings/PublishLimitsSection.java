package loadbalancer.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;

/**
 * What a control machine may spend on its subscribers: the section {@code [limits]} of its file.
 *
 * @param maxSubscribers subscribers at one time
 * @param admissionsPerSecond subscribers that are admitted in a second
 * @param bytesPerSecond to all subscribers together
 * @param subscriberBytesPerSecond to one subscriber
 * @param partBytes aimed size of one part of an update
 * @param heartbeatMillis a subscriber hears something at least this often
 * @param retainedDeletions deletions that are remembered for subscribers that were away
 */
public record PublishLimitsSection(
        int maxSubscribers,
        double admissionsPerSecond,
        long bytesPerSecond,
        long subscriberBytesPerSecond,
        int partBytes,
        long heartbeatMillis,
        int retainedDeletions) {
    /** Those of a file without this section; the publisher's own. */
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

    private static final int MOST_SUBSCRIBERS = 100_000;
    private static final double MOST_ADMISSIONS = 100_000;
    private static final long LEAST_BYTES = 1 << 10;
    private static final long MOST_BYTES = 1L << 40;

    /**
     * A part is a line, one resource longer than this at most, and subscribers take lines of 1 MiB.
     */
    private static final int MOST_PART_BYTES = 256 << 10;

    private static final long SHORTEST_HEARTBEAT = 100;
    private static final long LONGEST_HEARTBEAT = 10_000;
    private static final int MOST_DELETIONS = 10_000_000;

    static PublishLimitsSection read(Path file, JsonNode section)
            throws InvalidOperatorFileException {
        SectionReader reader = new SectionReader(file, "limits", section);
        PublishLimitsSection limits =
                new PublishLimitsSection(
                        (int)
                                reader.integer(
                                        "max-subscribers",
                                        DEFAULT.maxSubscribers,
                                        1,
                                        MOST_SUBSCRIBERS),
                        reader.positive(
                                "admissions-per-second",
                                DEFAULT.admissionsPerSecond,
                                MOST_ADMISSIONS),
                        reader.integer(
                                "bytes-per-second",
                                DEFAULT.bytesPerSecond,
                                LEAST_BYTES,
                                MOST_BYTES),
                        reader.integer(
                                "subscriber-bytes-per-second",
                                DEFAULT.subscriberBytesPerSecond,
                                LEAST_BYTES,
                                MOST_BYTES),
                        (int)
                                reader.integer(
                                        "part-bytes",
                                        DEFAULT.partBytes,
                                        LEAST_BYTES,
                                        MOST_PART_BYTES),
                        reader.integer(
                                "heartbeat-ms",
                                DEFAULT.heartbeatMillis,
                                SHORTEST_HEARTBEAT,
                                LONGEST_HEARTBEAT),
                        (int)
                                reader.integer(
                                        "retained-deletions",
                                        DEFAULT.retainedDeletions,
                                        0,
                                        MOST_DELETIONS));
        reader.check(
                limits.subscriberBytesPerSecond <= limits.bytesPerSecond,
                "subscriber-bytes-per-second",
                "is more than limits.bytes-per-second, " + limits.bytesPerSecond);
        return limits;
    }
}
