package loadbalancer.policy;

import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.OpenRequest;
import loadbalancer.policy.state.PolicyState;

/**
 * Requests that wait for an upstream: when they are sent, and when waiting is of no use any more.
 */
final class PendingRequests {
    private static final int MISSES =
            3; // held ones without an upstream until the rest is left for later
    private static final double HELD_PART = 0.45; // of its time that a request may wait unsent

    static void hold(PolicyState b, OpenRequest r, long now) {
        r.home = KeyAffinity.of(b, r, now);
        b.held.add(r);
    }

    /**
     * Sends what is held, dearest first, as long as upstreams have room; but first keys to their
     * homes.
     */
    static void pump(PolicyState b, long now) {
        if (!b.held.isEmpty()) {
            PeriodicTasks.soon(b, now);
        }
        if (LoadProbing.pending(b, now)) {
            return;
        }
        if (b.settings().hasKeyAffinity() && b.held.size() > 1) {
            sendHome(b, now);
        }
        int misses = 0;
        for (OpenRequest r = b.held.first(); r != null && misses < MISSES; ) {
            OpenRequest following = b.held.after(r);
            Endpoint up = EndpointPicker.pick(b, r, now, false);
            if (up != null) {
                AttemptLifecycle.send(b, r, up, now);
            } else {
                misses++;
            }
            r = following;
        }
    }

    /**
     * With scarce room the first would take it, keys be served cold everywhere and the jam last.
     */
    private static void sendHome(PolicyState b, long now) {
        boolean panic = OutlierDetection.panic(b.ups.all(), now);
        for (OpenRequest r : b.held.all()) {
            if (r.home != null
                    && b.ups.has(r.home)
                    && !r.late
                    && EndpointPicker.hasRoom(b, r.home, r, now)
                    && EndpointPicker.mayTake(b, r.home, r, now, panic)) {
                AttemptLifecycle.send(b, r, r.home, now);
            }
        }
    }

    /**
     * Refuses held requests that come too late and are worth nothing then; with some balancers,
     * each also those that waited for long: another may have room. With fewer, the line here is the
     * line everywhere.
     */
    static void shed(PolicyState b, long now) {
        boolean many = b.settings().balancerCount() >= DerivedSettings.FEW;
        for (OpenRequest r : b.held.all()) {
            if (many
                    && r.attempts.isEmpty()
                    && !r.arriving
                    && now - r.arrivedAt > HELD_PART * r.request.timeLeftMicros()) {
                FinalResponses.finish(b, r, now);
                continue;
            }
            double late = r.cls.lateResponseRatio();
            double least =
                    b.terms.hears()
                            ? b.traffic.size(r) * b.times.typicalPace()
                            : Math.max(r.ownService(b.times.unitTook()), r.classStats.took());
            if (now + least > r.aimAt && late <= 0) {
                FinalResponses.finish(b, r, now);
            } else if (now + least > r.aimAt && !r.late) {
                r.late = true;
                b.held.remove(r);
                r.value *= late;
                hold(b, r, now);
            }
        }
    }
}
