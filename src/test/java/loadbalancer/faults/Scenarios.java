package loadbalancer.faults;

import java.util.List;
import loadbalancer.logging.LogConfigurator;
import loadbalancer.logging.LogSettings;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;

/** What tests in virtual time have in common; thousands of balancers would fill the log. */
abstract class Scenarios {
    @BeforeAll
    static void quiet() {
        LogConfigurator.apply(LogSettings.of("plain", List.of("off")));
    }

    @AfterAll
    static void loud() {
        LogConfigurator.apply(LogSettings.PLAIN);
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
