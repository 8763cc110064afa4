package loadbalancer.node.control.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import loadbalancer.http1.control.ControlServerReport;
import loadbalancer.transport.Transport;

/**
 * Holds the latest report of each follower of this control server, and removes reports that are too
 * old. Used on the event loop only.
 */
final class ReceivedReports {
    /**
     * Higher than the number of followers of any deployment; reports of further followers are
     * dropped.
     */
    private static final int MAX_FOLLOWERS = 64;

    private static final long MAX_AGE_MILLIS = 600_000;

    private final Transport transport;
    private final Map<String, Received> byFollower = new TreeMap<>();

    private record Received(long receivedNanos, ControlServerReport report) {}

    ReceivedReports(Transport transport) {
        this.transport = transport;
    }

    void add(ControlServerReport report) {
        removeOld();
        if (byFollower.containsKey(report.machine()) || byFollower.size() < MAX_FOLLOWERS) {
            byFollower.put(report.machine(), new Received(transport.nanoTime(), report));
        }
    }

    /** Returns all reports, each with its present age. */
    List<ControlServerReport> current() {
        removeOld();
        List<ControlServerReport> current = new ArrayList<>();
        for (Received received : byFollower.values()) {
            ControlServerReport report = received.report();
            current.add(
                    new ControlServerReport(
                            report.machine(), ageMillis(received), report.distribution()));
        }
        return current;
    }

    private void removeOld() {
        byFollower.values().removeIf(received -> ageMillis(received) > MAX_AGE_MILLIS);
    }

    private long ageMillis(Received received) {
        return TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - received.receivedNanos());
    }
}
