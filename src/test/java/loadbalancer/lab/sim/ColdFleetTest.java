package loadbalancer.lab.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Rule 4 for the whole fleet: with N calls as the settings' budget, all processes together send a
 * cold upstream no more than N + 2 x root of N + 2 in any window. The main method prints the table
 * of docs/large-fleet-operation.md; the property {@code coldfleet.seeds} sets the test's number of
 * seeds.
 */
class ColdFleetTest {
    private static final int THREADS = 2;

    private static List<ColdFleet.Result> play(int balancers, int from, int seeds) {
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            List<Future<ColdFleet.Result>> all =
                    LongStream.range(from, from + seeds)
                            .mapToObj(s -> threads.submit(() -> ColdFleet.play(balancers, s)))
                            .toList();
            return all.stream().map(ColdFleetTest::result).toList();
        } finally {
            threads.shutdown();
        }
    }

    private static ColdFleet.Result result(Future<ColdFleet.Result> run) {
        try {
            return run.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 20, 30, 100})
    void allProcessesTogetherStayWithinTheBudgetOfAColdUpstream(int balancers) {
        int seeds = Integer.getInteger("coldfleet.seeds", balancers == 100 ? 2 : 6);
        List<ColdFleet.Result> all = play(balancers, 0, seeds);
        for (int seed = 0; seed < seeds; seed++) {
            ColdFleet.Result r = all.get(seed);
            assertEquals(0, r.falls(), "seed " + seed + ": " + line(r));
        }
    }

    private static String line(ColdFleet.Result r) {
        return String.format(
                Locale.ROOT,
                "told sent %d, all %d, bound %.1f and %.1f, falls %d, in aim %.4f, "
                        + "got %.3f of the budget, mean share %.3f; %s",
                r.sum(),
                r.all(),
                r.bound(),
                r.allBound(),
                r.falls(),
                r.served(),
                r.got(),
                r.ramped(),
                r.plan());
    }

    /**
     * Arguments: first seed, number of seeds, sizes; with {@code -v} before them each seed's line
     * too.
     */
    public static void main(String[] args) {
        boolean verbose = args[0].equals("-v");
        int at = verbose ? 1 : 0;
        int from = Integer.parseInt(args[at]);
        int seeds = Integer.parseInt(args[at + 1]);
        System.out.println(
                "| processes | worst sum of the told | its bound | seeds over the bound "
                        + "| seeds with a fall | in aim | got of the budget | mean share |");
        for (int i = at + 2; i < args.length; i++) {
            List<ColdFleet.Result> all = play(Integer.parseInt(args[i]), from, seeds);
            ColdFleet.Result worst =
                    all.stream()
                            .max((a, b) -> Double.compare(a.sum() / a.bound(), b.sum() / b.bound()))
                            .orElseThrow();
            System.out.printf(
                    Locale.ROOT,
                    "| %s | %d | %.1f | %d | %d | %.4f | %.3f | %.3f |%n",
                    args[i],
                    worst.sum(),
                    worst.bound(),
                    all.stream().filter(r -> r.sum() > r.bound()).count(),
                    all.stream().filter(r -> r.falls() > 0).count(),
                    all.stream().mapToDouble(ColdFleet.Result::served).average().orElse(0),
                    all.stream().mapToDouble(ColdFleet.Result::got).average().orElse(0),
                    all.stream().mapToDouble(ColdFleet.Result::ramped).average().orElse(0));
            for (int s = 0; verbose && s < seeds; s++) {
                System.out.println(from + s + " " + line(all.get(s)));
            }
        }
    }
}
