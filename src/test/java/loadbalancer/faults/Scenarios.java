package loadbalancer.faults;

import java.util.List;
import loadbalancer.logging.LogSettings;
import loadbalancer.logging.Logs;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;

/** What tests in virtual time have in common; thousands of balancers would fill the log. */
abstract class Scenarios {
    @BeforeAll
    static void quiet() {
        Logs.use(LogSettings.of("plain", List.of("off")));
    }

    @AfterAll
    static void loud() {
        Logs.use(LogSettings.PLAIN);
    }

    static Fault fault(Fault.Kind kind, long at, long len, int target, double size) {
        return new Fault(kind, at, len, target, size);
    }

    /** How often a line of the trace has that text, between two times in milliseconds. */
    static long between(VirtualWorld.Outcome o, String what, long from, long to) {
        return o.trace()
                .lines()
                .filter(l -> l.contains(what))
                .mapToLong(l -> Long.parseLong(l.split(" ")[0]) / 1_000)
                .filter(ms -> ms >= from && ms < to)
                .count();
    }
}
