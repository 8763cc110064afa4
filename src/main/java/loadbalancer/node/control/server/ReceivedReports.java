package loadbalancer.node.control.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import loadbalancer.http1.control.MachineReport;
import loadbalancer.transport.Transport;

/**
 * The last report of each machine that follows this one; one that is too old is removed. For the
 * loop's thread.
 */
final class ReceivedReports {
    /** More than there ever are; reports of further machines are dropped. */
    private static final int MAX_MACHINES = 64;

    private static final long MAX_AGE_MILLIS = 600_000;

    private final Transport transport;
    private final Map<String, Received> byMachine = new TreeMap<>();

    private record Received(long receivedNanos, MachineReport report) {}

    ReceivedReports(Transport transport) {
        this.transport = transport;
    }

    void add(MachineReport report) {
        removeOld();
        if (byMachine.containsKey(report.machine()) || byMachine.size() < MAX_MACHINES) {
            byMachine.put(report.machine(), new Received(transport.nanoTime(), report));
        }
    }

    /** All of them, each with its age. */
    List<MachineReport> current() {
        removeOld();
        List<MachineReport> current = new ArrayList<>();
        for (Received received : byMachine.values()) {
            MachineReport report = received.report();
            current.add(
                    new MachineReport(
                            report.machine(), ageMillis(received), report.distribution()));
        }
        return current;
    }

    private void removeOld() {
        byMachine.values().removeIf(received -> ageMillis(received) > MAX_AGE_MILLIS);
    }

    private long ageMillis(Received received) {
        return TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - received.receivedNanos());
    }
}
