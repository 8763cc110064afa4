package loadbalancer.rollout.stage;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.SharedState;

/**
 * The flag of a plan: up once, it is up for ever, and no vote, later statement or higher number
 * undoes it.
 */
final class HaltFlags {
    private HaltFlags() {}

    static String topic(String key) {
        return "rollout/halt/" + key;
    }

    static boolean up(SharedState shared, String key) {
        return !shared.flags(topic(key)).isEmpty();
    }

    static void raise(SharedState shared, long now, String key, String reason) {
        byte[] bytes = reason.getBytes(StandardCharsets.UTF_8);
        shared.raiseFlag(
                now,
                topic(key),
                Arrays.copyOf(bytes, Math.min(bytes.length, SharedState.MAX_REASON_BYTES)));
    }

    /** Who halted and why, fit for a log line whatever was sent. */
    static String reason(SharedState shared, String key) {
        Map<String, Flag> flags = shared.flags(topic(key));
        return flags.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .findFirst()
                .map(
                        e ->
                                e.getKey()
                                        + ": "
                                        + plain(
                                                new String(
                                                        e.getValue().reason(),
                                                        StandardCharsets.UTF_8)))
                .orElse("");
    }

    private static String plain(String text) {
        return text.replaceAll("[^\\p{L}\\p{N}\\p{Punct} ]", "?");
    }
}
