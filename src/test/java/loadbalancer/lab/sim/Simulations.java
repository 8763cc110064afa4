package loadbalancer.lab.sim;

import loadbalancer.lab.baseline.BalancerUnderTest;
import loadbalancer.lab.scenario.BadScenario;
import loadbalancer.lab.scenario.Scenario;

/** Small worlds for tests. */
final class Simulations {
    /** One kind, one class, no delays: what is left is the server itself. */
    static final String BARE =
            """
            [network]
            same_ms = 0
            jitter = 0
            handshake_rtts = 0
            [clients]
            delay_ms = 0
            [servers]
            count = 1
            [kind.one]
            slots_per_core = 1
            queue_per_core = 100000000
            [class.only]
            work_ms = 10
            deadline_ms = 3600000
            """;

    /**
     * Two zones, four servers and two balancers at half load, with a keyed class beside a safe one.
     */
    static final String SMALL =
            """
            [run]
            length_s = 12
            [load]
            of_capacity = 0.5
            [clients]
            retries = 2
            try_share = 0.5
            backoff = "fixed"
            backoff_ms = 50
            [network]
            zones = 2
            [balancers]
            count = 2
            [servers]
            count = 4
            cells = 2
            [kind.one]
            slots_per_core = 8
            queue_per_core = 16
            cold_from = 0.4
            cold_s = 3
            [class.safe]
            share = 3
            work_ms = 20
            io_ms = 10
            deadline_ms = 3000
            [class.keyed]
            work_ms = 20
            io_ms = 10
            effect = "keyed"
            window_ms = 1200
            deadline_ms = 2000
            """;

    private Simulations() {}

    static Scenario scenario(String text) {
        try {
            return Scenario.parse("test.toml", text);
        } catch (BadScenario e) {
            throw new AssertionError(e);
        }
    }

    static Result play(String text, String policy, long seed) {
        return Simulation.play(scenario(text), BalancerUnderTest.all().get(policy), seed);
    }

    /** A text with one line put behind its section's head. */
    static String with(String text, String section, String line) {
        return text.contains(section)
                ? text.replace(section + "\n", section + "\n" + line + "\n")
                : text + section + "\n" + line + "\n";
    }
}
