package loadbalancer.lab.sim;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.lab.scenario.Section;
import org.apache.commons.rng.UniformRandomProvider;

/** The rate of first tries over time: shape, bursts, floods of single tenants. */
final class Demand {
    /** A rise, a plateau and a fall. */
    private record Bump(long from, long to, long rise, double height, int tenant) {
        double at(long now) {
            if (now < from || now > to) {
                return 1;
            }
            double up = rise == 0 ? 1 : Math.min(1, (now - from) / (double) rise);
            double down = rise == 0 ? 1 : Math.min(1, (to - now) / (double) rise);
            return 1 + (height - 1) * Math.min(up, down);
        }
    }

    private final double base;
    private final String shape;
    private final double swing;
    private final double period;
    private final double phase;
    private final double[] usage;
    private final List<Bump> bumps = new ArrayList<>();
    private final List<long[]> steps = new ArrayList<>();
    private final long begin;
    private double bound;

    Demand(
            Section load,
            double capacity,
            List<Section> tenants,
            long begin,
            long end,
            UniformRandomProvider random) {
        this.begin = begin;
        base =
                (load.number("rate_per_s") > 0
                                ? load.number("rate_per_s")
                                : load.number("of_capacity") * capacity)
                        / 1e6;
        shape = load.text("shape");
        swing = load.number("swing");
        period = load.micros("period_s");
        phase = random.nextDouble() * 2 * Math.PI;
        usage =
                tenants.isEmpty()
                        ? new double[] {1}
                        : tenants.stream()
                                .mapToDouble(t -> t.number("share") * t.number("usage"))
                                .toArray();
        long at = begin;
        boolean up = random.nextBoolean();
        while (shape.equals("bursty") && at < end) {
            steps.add(new long[] {at, up ? 1 : -1});
            at += Math.max(1000, (long) Draws.exponential(random, period));
            up = !up;
        }
    }

    /**
     * Everybody's rate ({@code tenant} negative) or one tenant's rises to {@code height} times the
     * usual.
     */
    void bump(long from, long to, long rise, double height, int tenant) {
        bumps.add(new Bump(from, to, Math.min(rise, (to - from) / 2), height, tenant));
    }

    /** First tries in a microsecond, of one tenant. */
    double rate(int tenant, long now) {
        double rate = base * usage[tenant] * shape(now);
        for (Bump b : bumps) {
            if (b.tenant < 0 || b.tenant == tenant) {
                rate *= b.at(now);
            }
        }
        return rate;
    }

    private double shape(long now) {
        return switch (shape) {
            case "wave" -> 1 + swing * Math.sin(phase + 2 * Math.PI * (now - begin) / period);
            case "bursty" -> 1 + swing * stepAt(now);
            default -> 1;
        };
    }

    private double stepAt(long now) {
        // Times only advance, and steps are few: the last one begun counts.
        while (steps.size() > 1 && steps.get(1)[0] <= now) {
            steps.remove(0);
        }
        return steps.get(0)[1];
    }

    int tenants() {
        return usage.length;
    }

    /** A rate that is never passed, for thinning (Lewis and Shedler 1979). */
    double bound() {
        if (bound == 0) {
            for (int t = 0; t < usage.length; t++) {
                double most = base * usage[t] * (shape.equals("poisson") ? 1 : 1 + swing);
                for (Bump b : bumps) {
                    most *= b.tenant < 0 || b.tenant == t ? Math.max(1, b.height) : 1;
                }
                bound += most;
            }
        }
        return bound;
    }
}
