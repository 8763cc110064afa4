package loadbalancer.lab.sim;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.List;
import java.util.Map;

/**
 * What one run showed. All times are microseconds unless the name says otherwise; shares lie in 0
 * to 1.
 *
 * @param g the figure of the run: its parts weighted, less the prices
 * @param amplification attempts sent to servers for each first try
 * @param waste server work without an answer, as a share of the work that first tries asked for
 * @param latency for each class the percentiles of the time from the intended start to the answer
 * @param loads for each kind of server its busy share in each second
 * @param seconds worth asked for and got in each second of the intended starts
 * @param busyShare share of the server-seconds that were more than 90% busy
 * @param recovery for each trouble the seconds from its end until service was as before; -1 for
 *     never
 */
@JsonPropertyOrder(alphabetic = false)
public record Result(
        double g,
        double whole,
        double worstWindow,
        double worstClass,
        double worstTenant,
        double waste,
        double amplification,
        long firstTries,
        long clientTries,
        long served,
        long refused,
        long failed,
        long unreachable,
        long attempts,
        long extraAnswers,
        long crossings,
        long handshakes,
        long turnedAway,
        long choked,
        long fellOver,
        long doubleEffects,
        long droppedRepeats,
        long lateByStall,
        double busyShare,
        double meanStay,
        double littleError,
        double workError,
        long events,
        Map<String, Long> breaches,
        List<String> breachTexts,
        Map<String, Latency> latency,
        Map<String, List<Double>> loads,
        List<double[]> seconds,
        Map<String, Trouble> recovery) {

    /** Share of a class's worth that was served, and its latency in milliseconds. */
    public record Latency(
            double share,
            long served,
            double meanMs,
            double p50Ms,
            double p90Ms,
            double p99Ms,
            double p999Ms) {}

    /**
     * When a trouble began and ended, in seconds of the run, and how long service took to be as
     * before.
     */
    public record Trouble(String kind, double fromS, double toS, double recoveryS) {}

    /** Whether all rules were kept. */
    public boolean kept() {
        return breaches.isEmpty();
    }
}
