package loadbalancer.lab.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.RequestDescriptor;
import loadbalancer.lab.scenario.Drawn;
import loadbalancer.lab.scenario.Section;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;

/** The clients: open-loop arrivals, and what each does until it is served, gives up or leaves. */
final class Clients {
    private final EventQueue agenda;
    private final Tally tally;
    private final Front front;
    private final Demand demand;
    private final List<TrafficClass> trafficClasses;
    private final long end;
    private final int zones;
    private final Section load;
    private final Section clients;
    private final long delay;
    private final double[] allowance;
    private final double[] tokens;
    private final long[] tokensAt;
    private final UniformRandomProvider arrivals;
    private final UniformRandomProvider mix;
    private final UniformRandomProvider works;
    private final UniformRandomProvider manners;
    private final UniformRandomProvider waits;
    private final UniformRandomProvider hints;
    private final DiscreteSampler keys;
    private final double classShares;
    private final Map<Long, Call> open = new HashMap<>();
    private long calls;

    Clients(
            Drawn world,
            SimulatedFleet fabric,
            Front front,
            Demand demand,
            List<TrafficClass> trafficClasses,
            double[] allowance,
            long end) {
        this.agenda = fabric.agenda();
        this.tally = fabric.tally();
        this.front = front;
        this.demand = demand;
        this.trafficClasses = trafficClasses;
        this.end = end;
        this.allowance = allowance;
        tokens = allowance.clone();
        tokensAt = new long[allowance.length];
        load = world.section("load");
        clients = world.section("clients");
        zones = world.section("network").whole("zones");
        delay = clients.micros("delay_ms");
        Streams streams = fabric.streams();
        arrivals = streams.of("arrivals");
        mix = streams.of("mix");
        works = streams.of("work");
        manners = streams.of("manners");
        waits = streams.of("waits");
        hints = streams.of("hints");
        int keyCount = load.whole("keys");
        keys =
                keyCount == 0
                        ? null
                        : RejectionInversionZipfSampler.of(
                                streams.of("keys"), keyCount, load.number("key_zipf"));
        classShares = trafficClasses.stream().mapToDouble(l -> l.share).sum();
    }

    /** Requests that are not over yet. */
    int open() {
        return open.size();
    }

    /** True work of an open request, by the id that balancers know. */
    double workOf(String id) {
        int end = id.indexOf('.');
        Call call = open.get(Long.valueOf(id.substring(1, end < 0 ? id.length() : end)));
        return call == null ? 0 : call.work;
    }

    /** Schedules the next arrival by thinning a Poisson process of the highest rate. */
    void arrive() {
        double bound = demand.bound();
        if (bound <= 0) {
            return;
        }
        double at = agenda.now();
        while (at < end) {
            at += Draws.exponential(arrivals, 1 / bound);
            long time = (long) at;
            double pick = arrivals.nextDouble() * bound;
            for (int tenant = 0; tenant < demand.tenants() && time < end; tenant++) {
                pick -= demand.rate(tenant, time);
                if (pick < 0) {
                    int who = tenant;
                    agenda.at(
                            time,
                            () -> {
                                begin(who);
                                arrive();
                            });
                    return;
                }
            }
        }
    }

    private void begin(int tenant) {
        int classIndex = pickClass();
        TrafficClass trafficClass = trafficClasses.get(classIndex);
        boolean within = withinAllowance(tenant);
        double worth =
                trafficClass.told.priorityWeight() * (within ? 1 : load.number("over_share_worth"));
        boolean honours = manners.nextDouble() < clients.number("honour");
        Call call =
                new Call(
                        calls++,
                        trafficClass,
                        classIndex,
                        tenant,
                        keys == null ? -1 : keys.sample(),
                        pickZone(),
                        agenda.now(),
                        trafficClass.work(works),
                        worth,
                        within,
                        honours);
        call.retriesLeft = clients.whole("retries");
        open.put(call.number, call);
        if (manners.nextDouble() < clients.number("impatient")) {
            call.leavesAt =
                    agenda.now() + Draws.upTo(manners, trafficClass.told.clientTimeoutMicros());
            agenda.at(call.leavesAt, () -> leave(call));
        }
        attempt(call);
    }

    private int pickClass() {
        double at = mix.nextDouble() * classShares;
        int classIndex = 0;
        while (classIndex < trafficClasses.size() - 1
                && (at -= trafficClasses.get(classIndex).share) >= 0) {
            classIndex++;
        }
        return classIndex;
    }

    private int pickZone() {
        double skew = load.number("zone_skew");
        return mix.nextDouble() < skew ? 0 : mix.nextInt(zones);
    }

    private boolean withinAllowance(int tenant) {
        if (allowance.length == 0 || allowance[tenant] == 0) {
            return true;
        }
        long now = agenda.now();
        tokens[tenant] =
                Math.min(
                        allowance[tenant],
                        tokens[tenant] + allowance[tenant] * (now - tokensAt[tenant]) / 1e6);
        tokensAt[tenant] = now;
        if (tokens[tenant] < 1) {
            return false;
        }
        tokens[tenant]--;
        return true;
    }

    private void attempt(Call call) {
        if (call.over) {
            return;
        }
        long now = agenda.now();
        tally.clientTries++;
        Gateway at = front.pick(call.zone);
        if (at == null) {
            tally.unreachable++;
            agenda.in(2 * delay, () -> again(call, 0, true));
            return;
        }
        long share =
                Math.round(
                        call.trafficClass.told.clientTimeoutMicros() * clients.number("try_share"));
        long deadline = Math.min(call.giveUp, now + share);
        String id = "r" + call.number + (call.tries == 0 ? "" : "." + call.tries);
        Try t = new Try(call, id, at, deadline);
        call.current = t;
        RequestDescriptor request =
                new RequestDescriptor(
                        id,
                        call.classIndex,
                        call.tenant,
                        call.key < 0 ? null : "k" + call.key,
                        hint(call),
                        deadline - now,
                        false,
                        false);
        agenda.in(delay, () -> at.take(t, request));
        agenda.at(
                deadline,
                () -> {
                    if (!t.closed) {
                        close(t, false, 0);
                    }
                });
    }

    private long hint(Call call) {
        return load.flag("hints")
                ? Math.max(
                        1, Math.round(call.work * Draws.factor(hints, load.number("hint_noise"))))
                : 0;
    }

    private void leave(Call call) {
        if (call.over) {
            return;
        }
        Try t = call.current;
        over(call, -1);
        if (t != null && !t.closed) {
            t.closed = true;
            agenda.in(delay, () -> t.at.gone(t));
        }
    }

    // ---- What comes back
    // -----------------------------------------------------------------------------

    void answered(Try t) {
        agenda.in(
                delay,
                () -> {
                    if (!t.closed) {
                        t.closed = true;
                        over(t.call, agenda.now() - t.call.start);
                    }
                });
    }

    /**
     * Refused, failed or not reached; {@code harmless} where the client knows that nothing has run.
     */
    void ended(Try t, boolean harmless, long retryAfter) {
        agenda.in(
                delay,
                () -> {
                    if (!t.closed) {
                        close(t, harmless, retryAfter);
                    }
                });
    }

    private void close(Try t, boolean harmless, long retryAfter) {
        t.closed = true;
        noteRuns(t);
        again(t.call, retryAfter, harmless);
    }

    private static void noteRuns(Try t) {
        if (t.call.firstSentAt < 0 && !t.attempts.isEmpty()) {
            t.call.firstSentAt = t.attempts.get(0).sentAt;
        }
    }

    private void again(Call call, long retryAfter, boolean harmless) {
        if (call.over) {
            return;
        }
        long wait = call.honours && retryAfter > 0 ? retryAfter : backoff(call);
        long at = agenda.now() + wait;
        if (call.retriesLeft == 0 || at >= call.giveUp || !mayRepeat(call, harmless, at)) {
            over(call, -1);
            return;
        }
        call.retriesLeft--;
        call.tries++;
        agenda.at(at, () -> attempt(call));
    }

    private long backoff(Call call) {
        long base = clients.micros("backoff_ms");
        return switch (clients.text("backoff")) {
            case "none" -> 0;
            case "fixed" -> base;
            default -> Draws.upTo(waits, base << Math.min(20, call.tries));
        };
    }

    private static boolean mayRepeat(Call call, boolean harmless, long at) {
        if (harmless || call.trafficClass.told.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        return call.trafficClass.told.idempotency() == Idempotency.KEYED
                && call.trafficClass.told.idempotencyScope() == IdempotencyScope.ALL
                && (call.firstSentAt < 0
                        || at - call.firstSentAt
                                <= call.trafficClass.told.idempotencyWindowMicros());
    }

    private void over(Call call, long took) {
        call.over = true;
        open.remove(call.number);
        tally.over(call, took);
    }
}
