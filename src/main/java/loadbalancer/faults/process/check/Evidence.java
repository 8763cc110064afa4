package loadbalancer.faults.process.check;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * All that was written down in a run.
 *
 * @param balancers how many there were
 * @param healedAt when the last fault was over
 */
public record Evidence(
        int balancers,
        List<Ask> asks,
        List<Ran> runs,
        List<Told> told,
        List<Disturbance> disturbances,
        long healedAt) {

    Map<String, List<Ran>> runsById() {
        return runs.stream().collect(Collectors.groupingBy(Ran::id));
    }

    Map<String, Ask> asksById() {
        return asks.stream().collect(Collectors.toMap(Ask::id, a -> a, (a, b) -> a));
    }

    boolean isDisturbed(Disturbance.Kind kind, int balancer, long begin, long end) {
        return disturbances.stream().anyMatch(i -> i.of(kind, balancer) && i.touches(begin, end));
    }

    /**
     * Whether the process did not run or was held up, or the link was hindered, at some time in
     * there; the upstream is null where its link does not matter.
     */
    boolean isHinderedAnyhow(int balancer, String upstream, long begin, long end) {
        return isDisturbed(Disturbance.Kind.PAUSED, balancer, begin, end)
                || isDisturbed(Disturbance.Kind.HELD_UP, balancer, begin, end)
                || isDisturbed(Disturbance.Kind.KILLED, balancer, begin, end)
                || upstream != null && hindered(balancer, upstream, begin, end);
    }

    /** Whether the link between the two was hindered at some time in there. */
    boolean hindered(int balancer, String upstream, long begin, long end) {
        return disturbances.stream()
                .anyMatch(
                        i ->
                                i.of(Disturbance.Kind.LINK, balancer)
                                        && i.touches(begin, end)
                                        && (i.upstream() == null || i.upstream().equals(upstream)));
    }
}
