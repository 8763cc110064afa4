package loadbalancer.lab.baseline;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.ReweightingLoadBalancer;

/** Something that can stand in the balancers' place: the decision module or a yardstick. */
public interface BalancerUnderTest {
    /** A new instance. */
    LoadBalancer create(
            LoadBalancerSettings settings,
            long seed,
            LoadBalancerActions out,
            TrueServerState truth);

    /** All by the names that experiments use, the module first. */
    static Map<String, BalancerUnderTest> all() {
        Map<String, BalancerUnderTest> all = new LinkedHashMap<>();
        all.put(
                "module",
                (settings, seed, out, truth) -> new ReweightingLoadBalancer(settings, seed, out));
        all.put(
                "random",
                (s, seed, out, truth) -> new BaselineBalancer(s, seed, out, Picks.random()));
        all.put(
                "round-robin",
                (s, seed, out, truth) -> new BaselineBalancer(s, seed, out, Picks.roundRobin()));
        all.put(
                "two-choices",
                (s, seed, out, truth) -> new BaselineBalancer(s, seed, out, Picks.twoChoices()));
        all.put(
                "least-request",
                (s, seed, out, truth) -> new BaselineBalancer(s, seed, out, Picks.leastRequest()));
        all.put(
                "peak-ewma",
                (s, seed, out, truth) -> new BaselineBalancer(s, seed, out, Picks.peakEwma()));
        all.put(
                "all-seeing",
                (s, seed, out, truth) ->
                        new BaselineBalancer(s, seed, out, Picks.allSeeing(truth)));
        return all;
    }
}
