package loadbalancer.lab.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Looks at all servers once a second while arrivals come: how busy each kind was. */
final class Sampler {
    private static final long SECOND = 1_000_000;
    private static final double CROWDED = 0.9;

    private final EventQueue agenda;
    private final List<Server> servers;
    private final long end;
    private final Map<String, List<Double>> loads = new LinkedHashMap<>();
    private final double[] before;
    private long crowded;
    private long looks;

    Sampler(EventQueue agenda, List<Server> servers, long end) {
        this.agenda = agenda;
        this.servers = servers;
        this.end = end;
        before = new double[servers.size()];
        servers.forEach(s -> loads.computeIfAbsent(s.machine.kind(), k -> new ArrayList<>()));
        agenda.in(SECOND, this::look);
    }

    private void look() {
        Map<String, double[]> sums = new LinkedHashMap<>();
        for (Server s : servers) {
            double busy = s.busySoFar();
            double share = (busy - before[s.index]) / SECOND / s.machine.cores();
            before[s.index] = busy;
            double[] sum = sums.computeIfAbsent(s.machine.kind(), k -> new double[2]);
            sum[0] += share;
            sum[1]++;
            crowded += share > CROWDED ? 1 : 0;
            looks++;
        }
        sums.forEach((kind, sum) -> loads.get(kind).add(Math.round(sum[0] / sum[1] * 1e4) / 1e4));
        if (agenda.now() + SECOND <= end) {
            agenda.in(SECOND, this::look);
        }
    }

    Map<String, List<Double>> loads() {
        return loads;
    }

    /** Share of the server-seconds more than 90% busy. */
    double busyShare() {
        return looks == 0 ? 0 : (double) crowded / looks;
    }
}
