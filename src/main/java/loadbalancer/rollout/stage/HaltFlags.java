package loadbalancer.rollout.stage;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.SharedState;

/**
 * Raises and reads the flag that halts a plan. The flag is permanent: no vote, later statement or
 * higher number clears it. Stateless; called from the fleet's thread.
 */
final class HaltFlags {
    private HaltFlags() {}

    static boolean isRaised(SharedState shared, String planKey) {
        return !shared.flags(RolloutTopics.halt(planKey)).isEmpty();
    }

    /** Raises the flag, truncating a long reason. */
    static void raise(SharedState shared, long nowMicros, String planKey, String reason) {
        byte[] bytes = reason.getBytes(StandardCharsets.UTF_8);
        shared.raiseFlag(
                nowMicros,
                RolloutTopics.halt(planKey),
                Arrays.copyOf(bytes, Math.min(bytes.length, SharedState.MAX_REASON_BYTES)));
    }

    /** Returns the halting member and its reason, sanitized for logs; empty if not halted. */
    static String reason(SharedState shared, String planKey) {
        return shared.flags(RolloutTopics.halt(planKey)).entrySet().stream()
                .min(Map.Entry.comparingByKey())
                .map(entry -> entry.getKey() + ": " + printable(entry.getValue()))
                .orElse("");
    }

    private static String printable(Flag flag) {
        return new String(flag.reason(), StandardCharsets.UTF_8)
                .replaceAll("[^\\p{L}\\p{N}\\p{Punct} ]", "?");
    }
}
