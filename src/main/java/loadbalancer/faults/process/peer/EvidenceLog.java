package loadbalancer.faults.process.peer;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import loadbalancer.faults.process.check.Ask;
import loadbalancer.faults.process.check.Disturbance;
import loadbalancer.faults.process.check.Evidence;
import loadbalancer.faults.process.check.Ran;
import loadbalancer.faults.process.check.Told;

/** What all peers and the rig write down, from any thread. */
public final class EvidenceLog {
    private final List<Ask> asks = Collections.synchronizedList(new ArrayList<>());
    private final List<Ran> runs = Collections.synchronizedList(new ArrayList<>());
    private final List<Told> told = Collections.synchronizedList(new ArrayList<>());
    private final List<Disturbance> disturbances = Collections.synchronizedList(new ArrayList<>());

    /** A request has ended for its client. */
    public void note(Ask ask) {
        asks.add(ask);
    }

    /** An upstream has read a request. */
    public void note(Ran ran) {
        runs.add(ran);
    }

    /** Discovery is about to write. */
    public void note(Told word) {
        told.add(word);
    }

    /** The rig has done something. */
    public void note(Disturbance disturbance) {
        disturbances.add(disturbance);
    }

    /** How many requests that were sent since then a balancer has served. */
    public long served(int balancer, long since) {
        synchronized (asks) {
            return asks.stream()
                    .filter(
                            a ->
                                    a.balancer() == balancer
                                            && a.sentAt() >= since
                                            && a.status() == 200)
                    .count();
        }
    }

    /** All of it. */
    public Evidence evidence(int balancers, long healedAt) {
        return new Evidence(
                balancers, copy(asks), copy(runs), copy(told), copy(disturbances), healedAt);
    }

    private static <T> List<T> copy(List<T> from) {
        synchronized (from) {
            return List.copyOf(from);
        }
    }

    /** Writes a file for each kind, one line an entry. */
    public void write(Path folder) throws IOException {
        write(folder, "clients.log", asks);
        write(folder, "upstreams.log", runs);
        write(folder, "discovery.log", told);
        write(folder, "rig.log", disturbances);
    }

    private static void write(Path folder, String name, List<?> entries) throws IOException {
        Files.write(folder.resolve(name), copy(entries).stream().map(Object::toString).toList());
    }
}
