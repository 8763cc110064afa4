package loadbalancer.lab.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The server model against the formulas of queueing theory, and against conservation. */
class QueueingTest {
    private static final double SERVICE_MS = 10;

    /**
     * Poisson arrivals, exponential work, {@code cores} cores, an endless queue in order of
     * arrival.
     */
    private static Result markov(int cores, double load, long seed) {
        String text =
                Simulations.with(Simulations.BARE, "[kind.one]", "cores = " + cores)
                        + "[run]\nlength_s = "
                        + 2400 / cores
                        + "\nwarmup_s = 10\n"
                        + "[load]\nrate_per_s = "
                        + load * cores * 1000 / SERVICE_MS
                        + "\n";
        return Simulations.play(text, "random", seed);
    }

    private static double mean(Result r) {
        return r.latency().get("only").meanMs();
    }

    /** Mean time in an M/M/c system by Erlang's C formula, in milliseconds. */
    private static double erlang(int c, double load) {
        double a = c * load;
        double term = 1;
        double sum = 1;
        for (int k = 1; k < c; k++) {
            term *= a / k;
            sum += term;
        }
        double last = term * a / c / (1 - load);
        double waits = last / (sum + last);
        return SERVICE_MS + waits * SERVICE_MS / (c * (1 - load));
    }

    private static double average(int cores, double load) {
        double sum = 0;
        for (int seed = 1; seed <= 6; seed++) {
            sum += mean(markov(cores, load, seed));
        }
        return sum / 6;
    }

    @ParameterizedTest
    @CsvSource({"1, 0.3", "1, 0.7", "4, 0.5", "4, 0.8", "16, 0.9"})
    void meanTimeFollowsErlang(int cores, double load) {
        double expected = erlang(cores, load);
        assertEquals(expected, average(cores, load), 0.03 * expected);
    }

    /** Processor sharing has the M/M/1 mean whatever the distribution of the work. */
    @ParameterizedTest
    @CsvSource({"fixed, 0", "lognormal, 2", "pareto, 1.2"})
    void sharedCoresAreInsensitiveToTheDistribution(String dist, double cv) {
        String text =
                Simulations.BARE.replace("slots_per_core = 1\n", "slots_per_core = 1000000\n");
        text =
                Simulations.with(text, "[class.only]", "dist = \"" + dist + "\"\ncv = " + cv)
                        + "[run]\nlength_s = 1500\n[load]\nrate_per_s = 60\n";
        double sum = 0;
        for (int seed = 1; seed <= 6; seed++) {
            sum += mean(Simulations.play(text, "random", seed));
        }
        assertEquals(SERVICE_MS / (1 - 0.6), sum / 6, 0.06 * SERVICE_MS / (1 - 0.6));
    }

    @Test
    void littlesLawAndWorkAreKeptWhateverHappens() {
        String text =
                Simulations.with(Simulations.SMALL, "[servers]", "cancel = \"all\"")
                        + "[trouble.a]\n"
                        + "kind = \"zone_loss\"\n"
                        + "at_s = 3\n"
                        + "len_s = 2\n"
                        + "[trouble.b]\n"
                        + "kind = \"neighbour\"\n"
                        + "at_s = 1\n"
                        + "len_s = 8\n"
                        + "part = 1\n"
                        + "size = 0.7\n"
                        + "on_off_s = 1\n"
                        + "[trouble.c]\n"
                        + "kind = \"burst\"\n"
                        + "at_s = 7\n"
                        + "len_s = 3\n"
                        + "size = 4\n";
        for (String policy : loadbalancer.lab.baseline.BalancerUnderTest.all().keySet()) {
            Result r = Simulations.play(text, policy, 5);
            assertTrue(
                    r.littleError() >= 0 && r.littleError() < 1e-9, policy + " " + r.littleError());
            assertTrue(r.workError() >= 0 && r.workError() < 1e-9, policy + " " + r.workError());
        }
    }

    @Test
    void anOverloadedRunDrainsToItsEnd() {
        String text = Simulations.BARE + "[run]\nlength_s = 20\n[load]\nrate_per_s = 300\n";
        Result r = Simulations.play(text, "random", 3);
        assertEquals(r.firstTries(), r.served(), "all are served in the end");
        assertTrue(
                r.latency().get("only").p99Ms() > 30_000,
                "the last ones long after the last arrival");
        assertTrue(r.workError() < 1e-9);
    }
}
