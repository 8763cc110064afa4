package loadbalancer.lab.rollout;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import loadbalancer.lab.rollout.Trial.Outcome;

/**
 * Many changes with the same seeds for each effect, as a table: arguments are the number of runs
 * and the first seed, {@code 1000 1} where none are given.
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
                row(System.out, members, effect, outcomes(members, effect, runs, seed));
            }
        }
    }

    static List<Outcome> outcomes(int members, Effect effect, int runs, long seed) {
        return LongStream.range(seed, seed + runs)
                .parallel()
                .mapToObj(s -> Trial.run(members, effect, s))
                .toList();
    }

    private static void row(PrintStream out, int members, Effect effect, List<Outcome> outcomes) {
        List<Outcome> stopped = outcomes.stream().filter(Outcome::stopped).toList();
        long early = stopped.stream().filter(o -> o.stage() == 0).count();
        long first = stopped.stream().filter(o -> o.stage() == 1).count();
        long late = stopped.stream().filter(o -> o.reason().endsWith("(out of time)")).count();
        double lost = outcomes.stream().mapToDouble(Outcome::lost).sum();
        double atOnce = outcomes.stream().mapToDouble(Outcome::allAtOnce).sum();
        out.println(
                String.format(
                        Locale.ROOT,
                        "| %d | %s | %.1f%% | %d | %d | %d | %.0f (%.0f) | %.0f | %s |",
                        members,
                        effect.name(),
                        100.0 * stopped.size() / outcomes.size(),
                        early,
                        first,
                        late,
                        part(outcomes, Outcome::seconds, 0.5),
                        part(outcomes, Outcome::seconds, 0.9),
                        part(outcomes, Outcome::requests, 0.5),
                        atOnce == 0
                                ? "-"
                                : String.format(Locale.ROOT, "%.1f%%", 100 * lost / atOnce)));
        Map<String, Integer> reasons = new TreeMap<>();
        stopped.forEach(o -> reasons.merge(o.reason(), 1, Integer::sum));
        if (effect == Effect.SAME) {
            reasons.forEach((reason, n) -> System.err.println(members + ": " + n + " x " + reason));
        }
    }

    private static double part(
            List<Outcome> outcomes, ToDoubleFunction<Outcome> value, double share) {
        double[] sorted = outcomes.stream().mapToDouble(value).sorted().toArray();
        return sorted[(int) Math.min(sorted.length - 1, share * sorted.length)];
    }
}
