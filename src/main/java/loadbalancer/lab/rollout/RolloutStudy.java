package loadbalancer.lab.rollout;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import loadbalancer.lab.rollout.SimulatedRollout.Outcome;

/**
 * Many rollouts with the same seeds for each effect, as a table. Arguments are the number of runs
 * and the first seed, {@code 1000 1} by default.
 */
public final class RolloutStudy {
    private RolloutStudy() {}

    /** Prints the table. */
    public static void main(String[] args) {
        int runs = args.length > 0 ? Integer.parseInt(args[0]) : 1_000;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : 1;
        System.out.println(
                "| balancers | new program | stopped | before stage 1 | in stage 1 | out of time "
                        + "| seconds to the end, median (90%) "
                        + "| requests of the new, median | lost, of all at once |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int members : new int[] {12, 30, 100}) {
            for (Effect effect : Effect.ALL) {
                printRow(System.out, members, effect, outcomes(members, effect, runs, seed));
            }
        }
    }

    static List<Outcome> outcomes(int members, Effect effect, int runs, long seed) {
        return LongStream.range(seed, seed + runs)
                .parallel()
                .mapToObj(number -> SimulatedRollout.run(members, effect, number))
                .toList();
    }

    private static void printRow(
            PrintStream out, int members, Effect effect, List<Outcome> outcomes) {
        List<Outcome> halted = outcomes.stream().filter(Outcome::isHalted).toList();
        out.println(
                String.format(
                        Locale.ROOT,
                        "| %d | %s | %.1f%% | %d | %d | %d | %.0f (%.0f) | %.0f | %s |",
                        members,
                        effect.name(),
                        100.0 * halted.size() / outcomes.size(),
                        haltedIn(halted, 0),
                        haltedIn(halted, 1),
                        halted.stream()
                                .filter(outcome -> outcome.reason().endsWith("(out of time)"))
                                .count(),
                        quantile(outcomes, Outcome::seconds, 0.5),
                        quantile(outcomes, Outcome::seconds, 0.9),
                        quantile(outcomes, Outcome::requests, 0.5),
                        lostOfAllAtOnce(outcomes)));
        if (effect == Effect.NONE) {
            printReasons(members, halted);
        }
    }

    private static long haltedIn(List<Outcome> halted, int stage) {
        return halted.stream().filter(outcome -> outcome.stage() == stage).count();
    }

    private static String lostOfAllAtOnce(List<Outcome> outcomes) {
        double lost = outcomes.stream().mapToDouble(Outcome::lost).sum();
        double allAtOnce = outcomes.stream().mapToDouble(Outcome::lostAllAtOnce).sum();
        return allAtOnce == 0 ? "-" : String.format(Locale.ROOT, "%.1f%%", 100 * lost / allAtOnce);
    }

    /** False halts, on standard error. */
    private static void printReasons(int members, List<Outcome> halted) {
        Map<String, Integer> countByReason = new TreeMap<>();
        halted.forEach(outcome -> countByReason.merge(outcome.reason(), 1, Integer::sum));
        countByReason.forEach(
                (reason, count) -> System.err.println(members + ": " + count + " x " + reason));
    }

    private static double quantile(
            List<Outcome> outcomes, ToDoubleFunction<Outcome> value, double level) {
        double[] sorted = outcomes.stream().mapToDouble(value).sorted().toArray();
        return sorted[(int) Math.min(sorted.length - 1, level * sorted.length)];
    }
}
