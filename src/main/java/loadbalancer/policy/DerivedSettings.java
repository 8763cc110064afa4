package loadbalancer.policy;

import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReportSource;
import loadbalancer.RequestClass;
import loadbalancer.SettingsValidator;
import loadbalancer.policy.data.InFlightMessage;
import loadbalancer.policy.state.PolicyState;
import loadbalancer.policy.state.SettingsState;

/** What follows from the settings alone. */
final class DerivedSettings {
    static final double FEW = 4; // with fewer balancers, the line here is the line everywhere
    static final int SHARERS =
            12; // balancers to an upstream: few enough to tell and to be connected
    static final int LEAST_SUBSET = 2; // upstreams to a balancer: with one there is no pick
    private static final double WAIT_SHARE =
            0.1; // waiting aimed at under our own limit, of the aim
    private static final double WAIT_MORE = 0.2; // added with FEW balancers: the line is ours
    private static final double NEWS_POINTS =
            0.02; // points of the result that in-flight news may cost

    /** Bad settings are refused with the field's name, and the old ones stay. */
    static void take(PolicyState b, LoadBalancerSettings next) {
        SettingsValidator.check(next);
        SettingsState t = b.terms;
        t.settings = next;
        t.margin = next.deadlineMarginMicros();
        t.waitShare = WAIT_SHARE + WAIT_MORE * Math.min(1, FEW / next.balancerCount());
        t.waitTarget = (long) (t.waitShare * tightest(next));
        boolean hasPeers = next.balancerCount() > 1;
        t.tells =
                next.limits().isPeerMessagingAllowed()
                        && hasPeers
                        && 2.0 * SHARERS * InFlightMessage.BYTES / 256 * next.prices().peerMessage()
                                < NEWS_POINTS;
        t.asksEach = NEWS_POINTS / Math.max(next.prices().probe(), 1e-6);
        t.asks =
                next.limits().isProbingAllowed()
                        && next.loadReportSource() == LoadReportSource.PROBES
                        && t.asksEach > LEAST_SUBSET
                        && hasPeers;
        b.peers.toldHolds(2 * t.waitTarget / t.waitShare);
        b.traffic.take(next.requestClasses());
        b.tenants.take(next.tenantQuotas(), next.balancerCount());
    }

    /** The least aim of all classes. */
    static long tightest(LoadBalancerSettings settings) {
        return settings.requestClasses().stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElseThrow();
    }
}
