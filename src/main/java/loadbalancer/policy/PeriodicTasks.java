package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.data.Jitter;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.PolicyState;

/** What is done now and then, whether or not something happens. */
final class PeriodicTasks {
    private static final long SWEEP = 10_000; // mean time between looks at what is held; jittered
    private static final long IDLE_SWEEP =
            50_000; // with nothing held: timers cost CPU in large groups
    private static final double HELD_CHANCE =
            0.25; // a sweep's, to send what is held where others hold too

    static void start(PolicyState b, long now) {
        b.sweep.nextReweight = now + Jitter.around(UtilizationWeights.PERIOD, b.random);
        LoadProbing.start(b, now);
        in(b, SWEEP, now);
    }

    private static void in(PolicyState b, long span, long now) {
        b.sweep.next = now + span;
        b.out.scheduleTimer("sweep", span);
    }

    /** Something is held: the next look must not be an idle one. */
    static void soon(PolicyState b, long now) {
        if (b.sweep.next - now > 2 * SWEEP) {
            in(b, Jitter.around(SWEEP, b.random), now);
        }
    }

    static void timer(PolicyState b, long now) {
        if (now < b.sweep.next) {
            return;
        }
        List<Endpoint> all = b.ups.all();
        in(b, Jitter.around(b.held.isEmpty() ? IDLE_SWEEP : SWEEP, b.random), now);
        FinalResponses.expire(b, now);
        OutlierDetection.checkHanging(b, now);
        PendingRequests.shed(b, now);
        if (now >= b.sweep.nextReweight) {
            long period = Jitter.around(UtilizationWeights.PERIOD, b.random);
            SlowStart.measure(b, now, period);
            b.traffic.measure(period);
            b.times.measureUnit(all);
            UtilizationWeights.reweight(all, now);
            b.sweep.nextReweight = now + period;
        }
        EndpointListUpdates.subscribeAgain(b, now);
        LoadProbing.probe(b, now);
        LoadProbing.ask(b, now);
        if (!b.terms.tells || b.random.nextDouble() < HELD_CHANCE) {
            PendingRequests.pump(
                    b,
                    now); // news is a network delay old: else all sharers take the same freed place
        }
    }
}
