package loadbalancer.node.control.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import loadbalancer.http1.control.MachineReport;
import loadbalancer.transport.Transport;

/**
 * The last report of each machine that follows this one. One that has said nothing for long is
 * forgotten.
 */
final class ReceivedReports {
    /** More machines than ever follow; the names of others are not kept. */
    private static final int MAX_MACHINES = 64;

    private static final long FORGOTTEN_AFTER_MILLIS = 600_000;

    private final Transport transport;
    private final Map<String, Received> byMachine = new TreeMap<>();

    private record Received(long nanos, MachineReport report) {}

    ReceivedReports(Transport transport) {
        this.transport = transport;
    }

    void add(MachineReport report) {
        forgetOld();
        if (byMachine.containsKey(report.machine()) || byMachine.size() < MAX_MACHINES) {
            byMachine.put(report.machine(), new Received(transport.nanoTime(), report));
        }
    }

    /** All of them, each with its age. */
    List<MachineReport> current() {
        forgetOld();
        List<MachineReport> current = new ArrayList<>();
        for (Received received : byMachine.values()) {
            MachineReport report = received.report();
            current.add(
                    new MachineReport(
                            report.machine(), ageMillis(received), report.distribution()));
        }
        return current;
    }

    private void forgetOld() {
        byMachine.values().removeIf(received -> ageMillis(received) > FORGOTTEN_AFTER_MILLIS);
    }

    private long ageMillis(Received received) {
        return TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - received.nanos());
    }
}
