package loadbalancer.lab.baseline;

import java.util.List;
import loadbalancer.RequestDescriptor;
import org.apache.commons.rng.UniformRandomProvider;

/** The rules of the yardsticks, each after its published description. */
final class Picks {
    /** Time constant of the moving average: Finagle's default decay time of 10 s. */
    private static final double DECAY = 10e6;

    private Picks() {}

    static Pick random() {
        return (now, request, among, random) -> among.get(random.nextInt(among.size()));
    }

    static Pick roundRobin() {
        return new Pick() {
            private long turn = -1;

            @Override
            public Candidate pick(
                    long now,
                    RequestDescriptor request,
                    List<Candidate> among,
                    UniformRandomProvider random) {
                // Every balancer begins elsewhere, or all would go round in step.
                turn = turn < 0 ? random.nextInt(among.size()) : turn + 1;
                return among.get((int) (turn % among.size()));
            }
        };
    }

    /**
     * M. Mitzenmacher, The Power of Two Choices in Randomized Load Balancing (2001), by in-flight.
     */
    static Pick twoChoices() {
        return (now, request, among, random) -> {
            Candidate a = among.get(random.nextInt(among.size()));
            Candidate b = other(among, a, random);
            return b.inFlight < a.inFlight ? b : a;
        };
    }

    /** Two different ones where there are two. */
    private static Candidate other(
            List<Candidate> among, Candidate a, UniformRandomProvider random) {
        if (among.size() == 1) {
            return a;
        }
        Candidate b = among.get(random.nextInt(among.size()));
        while (b == a) {
            b = among.get(random.nextInt(among.size()));
        }
        return b;
    }

    /**
     * Envoy's documentation, weighted least request: in proportion to weight / (in-flight + 1),
     * bias 1.
     */
    static Pick leastRequest() {
        return (now, request, among, random) -> {
            double sum = 0;
            for (Candidate c : among) {
                sum += c.weight() / (c.inFlight + 1);
            }
            double at = random.nextDouble() * sum;
            for (Candidate c : among) {
                at -= c.weight() / (c.inFlight + 1);
                if (at < 0) {
                    return c;
                }
            }
            return among.get(among.size() - 1);
        };
    }

    /**
     * Finagle's documentation, P2C with Peak EWMA: of two random ones that with the lower cost,
     * which is a moving average of answer times that jumps up at once and decays slowly, times
     * requests in flight + 1.
     */
    static Pick peakEwma() {
        return new Pick() {
            @Override
            public Candidate pick(
                    long now,
                    RequestDescriptor request,
                    List<Candidate> among,
                    UniformRandomProvider random) {
                Candidate a = among.get(random.nextInt(among.size()));
                Candidate b = other(among, a, random);
                return load(b, now) < load(a, now) ? b : a;
            }

            private double load(Candidate c, long now) {
                observe(c, now, 0);
                // Unmeasured and busy: a penalty, so that one new server doesn't get all.
                return c.cost == 0 && c.inFlight != 0
                        ? 1e12 + c.inFlight
                        : c.cost * (c.inFlight + 1);
            }

            private void observe(Candidate c, long now, double took) {
                double old = Math.exp(-(now - c.costAt) / DECAY);
                c.cost = took > c.cost ? took : c.cost * old + took * (1 - old);
                c.costAt = now;
            }

            @Override
            public void served(long now, Candidate at, long took) {
                observe(at, now, took);
            }
        };
    }

    /**
     * Sees backlog, speed and life of every server, and sends where the answer will be there first.
     */
    static Pick allSeeing(TrueServerState truth) {
        return (now, request, among, random) -> {
            double work = truth.workOf(request.id());
            Candidate best = null;
            double least = Double.POSITIVE_INFINITY;
            for (Candidate c : among) {
                double time = truth.timeToServe(c.id(), work);
                if (time < least) {
                    least = time;
                    best = c;
                }
            }
            // What can't be served in time takes the place of what can.
            return best != null && least < request.timeLeftMicros() ? best : null;
        };
    }
}
