package loadbalancer.lab.sim;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The plain layer before the balancers: spreads clients over those of their zone, sees deaths late.
 */
final class Front {
    private final EventQueue agenda;
    private final UniformRandomProvider random;
    private final long notice;
    private final List<List<Gateway>> zones = new ArrayList<>();
    private final List<Gateway> all = new ArrayList<>();

    Front(EventQueue agenda, UniformRandomProvider random, long notice, int zoneCount) {
        this.agenda = agenda;
        this.random = random;
        this.notice = notice;
        for (int i = 0; i < zoneCount; i++) {
            zones.add(new ArrayList<>());
        }
    }

    void up(Gateway g) {
        if (!all.contains(g)) {
            zones.get(g.zone).add(g);
            all.add(g);
        }
    }

    /** It died; clients are sent there until this layer notices. */
    void died(Gateway g) {
        int epoch = g.epoch();
        agenda.in(
                notice,
                () -> {
                    if (g.epoch() == epoch && !g.alive()) {
                        zones.get(g.zone).remove(g);
                        all.remove(g);
                    }
                });
    }

    /** A balancer of that zone, or of any where that has none; null if there is none at all. */
    Gateway pick(int zone) {
        List<Gateway> own = zones.get(zone);
        List<Gateway> among = own.isEmpty() ? all : own;
        return among.isEmpty() ? null : among.get(random.nextInt(among.size()));
    }
}
