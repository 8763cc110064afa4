package yewyoke.lab.rival;

import java.util.LinkedHashMap;
import java.util.Map;
import yewyoke.Balance;
import yewyoke.Balancer;
import yewyoke.Balancer.Actions;
import yewyoke.Balancer.Settings;

/** Something that can stand in the balancers' place: the decision module or a yardstick. */
public interface Contender {
    /** A new instance. */
    Balancer create(Settings settings, long seed, Actions out, Truth truth);

    /** All by the names that experiments use, the module first. */
    static Map<String, Contender> all() {
        Map<String, Contender> all = new LinkedHashMap<>();
        all.put("module", (settings, seed, out, truth) -> new Balance(settings, seed, out));
        all.put("random", (s, seed, out, truth) -> new Yardstick(s, seed, out, Picks.random()));
        all.put("round-robin", (s, seed, out, truth) -> new Yardstick(s, seed, out, Picks.roundRobin()));
        all.put("two-choices", (s, seed, out, truth) -> new Yardstick(s, seed, out, Picks.twoChoices()));
        all.put("least-request", (s, seed, out, truth) -> new Yardstick(s, seed, out, Picks.leastRequest()));
        all.put("peak-ewma", (s, seed, out, truth) -> new Yardstick(s, seed, out, Picks.peakEwma()));
        all.put("all-seeing",
                (s, seed, out, truth) -> new Yardstick(s, seed, out, Picks.allSeeing(truth)));
        return all;
    }
}
