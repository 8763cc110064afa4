package loadbalancer.schedule.weighting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.AttemptResult;
import loadbalancer.CapacityWeightKind;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointSnapshot;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReport;
import loadbalancer.ReweightingLoadBalancer;
import loadbalancer.lab.scenario.Scenario;
import loadbalancer.lab.sim.Simulation;
import org.junit.jupiter.api.Test;

/**
 * The module itself, unchanged, in the laboratory's world. A shifted target is the same to it as a
 * report that is shifted the other way, and so is the leak; the factor on the weight goes in as a
 * rating, to the power that the pick takes.
 */
class InTheLaboratoryTest {
    private static final double[] WANTED = {0.5, 0.5, 0.5, 1, 1, 1, 1, 1, 1, 1};
    private static final double[] CAPACITY = {1, 1, 1, 1, 1, 1, 1, 1, 1, 1};
    private static final int SERVERS = WANTED.length;
    private static final double LEAK = 0.02; // as in Balance
    private static final String WORLD =
            """
            [run]
            length_s = 50
            [load]
            of_capacity = 0.45
            [balancers]
            count = 3
            [servers]
            count = 10
            report_period_ms = 500
            [kind.one]
            cores = 4
            cold_s = 0
            [class.only]
            work_ms = 20
            deadline_ms = 3000
            """;

    private enum How {
        NONE,
        WEIGHT_ONLY,
        TARGET_TOO
    }

    /** Sends in each stretch of ten seconds to the halved ones, and to all. */
    private final long[] halved = new long[10], all = new long[10];

    /** One balancer with the module in it, and what it has to be told instead. */
    private final class Steered {
        private final ReweightingLoadBalancer module;
        private final How how;
        private final Map<String, Double> reported = new HashMap<>();
        private final Headroom headroom = new Headroom(line -> {});
        private double[] factors = CAPACITY;
        private long now;

        Steered(LoadBalancerSettings s, long seed, LoadBalancerActions out, How how) {
            this.how = how;
            LoadBalancerActions counting =
                    (LoadBalancerActions)
                            Proxy.newProxyInstance(
                                    getClass().getClassLoader(),
                                    new Class<?>[] {LoadBalancerActions.class},
                                    (proxy, method, args) -> {
                                        if (method.getName().equals("send")) {
                                            int stretch = (int) ((now - 100_000_000) / 10_000_000);
                                            halved[stretch] += isHalved((String) args[1]) ? 1 : 0;
                                            all[stretch]++;
                                        }
                                        return call(out, method, args);
                                    });
            module =
                    new ReweightingLoadBalancer(
                            new LoadBalancerSettings(
                                    s.zoneIndex(),
                                    s.zoneCount(),
                                    s.balancerIndex(),
                                    s.balancerCount(),
                                    s.requestClasses(),
                                    s.tenantQuotas(),
                                    s.overQuotaWeightRatio(),
                                    s.isWeightPerWork(),
                                    s.limits(),
                                    s.ruleLimits(),
                                    s.prices(),
                                    s.loadReportSource(),
                                    CapacityWeightKind.NOMINAL,
                                    s.isEndpointListPolled(),
                                    s.hasKeyAffinity(),
                                    s.tickMicros()),
                            seed,
                            counting);
        }

        Object event(java.lang.reflect.Method method, Object[] args) throws Throwable {
            now = args != null && args.length > 0 && args[0] instanceof Long l ? l : now;
            if (method.getName().equals("upstreams")) {
                List<EndpointDescriptor> rated = new ArrayList<>();
                for (Object o : (List<?>) args[2]) {
                    EndpointDescriptor u = (EndpointDescriptor) o;
                    double weight = how != How.NONE && isHalved(u.id()) ? 0.5 : 1;
                    rated.add(
                            new EndpointDescriptor(
                                    u.id(),
                                    u.zoneIndex(),
                                    u.machineKindIndex(),
                                    u.cellIndex(),
                                    u.state(),
                                    Math.pow(weight, 0.25),
                                    u.launchedAtMicros()));
                }
                module.updateEndpoints(now, (EndpointListUpdateType) args[1], rated);
                return null;
            }
            if (method.getName().equals("outcome")) {
                AttemptResult e = (AttemptResult) args[1];
                module.attemptEnded(
                        now,
                        new AttemptResult(
                                e.requestId(),
                                e.attemptIndex(),
                                e.endpointId(),
                                e.outcome(),
                                e.durationMicros(),
                                e.isRequestConcluded(),
                                e.loadReport() == null
                                        ? null
                                        : shifted(e.endpointId(), e.loadReport())));
                return null;
            }
            return call(module, method, args);
        }

        private LoadReport shifted(String id, LoadReport load) {
            reported.put(id, load.utilization());
            if (how != How.TARGET_TOO) {
                return load;
            }
            int place = Integer.parseInt(id.substring(1));
            double[] loads = new double[SERVERS];
            for (int i = 0; i < SERVERS; i++) {
                loads[i] = reported.getOrDefault("s" + i, Double.NaN);
            }
            double mean = Steering.mean(loads, CAPACITY, factors);
            factors = Steering.plan(WANTED, CAPACITY, headroom.smoothed(mean)).factors();
            double logWeight =
                    module.exportState(now, 0, SERVERS).endpoints().stream()
                            .filter(k -> k.id().equals(id))
                            .mapToDouble(EndpointSnapshot::logWeight)
                            .findFirst()
                            .orElse(0);
            double shift =
                    Steering.target(factors[place], mean)
                            - plainMean(loads)
                            + (isHalved(id) ? LEAK * logWeight : 0);
            return new LoadReport(
                    load.utilization() - shift,
                    load.activeRequests(),
                    load.queuedRequests(),
                    load.serviceTimeMicros(),
                    load.requestsPerSecond(),
                    load.errorsPerSecond());
        }
    }

    private static Object call(Object on, java.lang.reflect.Method method, Object[] args)
            throws Throwable {
        try {
            return method.invoke(on, args);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    /** What the module itself steers to. */
    private static double plainMean(double[] loads) {
        return Arrays.stream(loads).filter(l -> !Double.isNaN(l)).average().orElse(0);
    }

    private static boolean isHalved(String id) {
        return WANTED[Integer.parseInt(id.substring(1))] == 0.5;
    }

    /** The share of the halved ones in each stretch of ten seconds. */
    private double[] shares(How how, long seed) throws Exception {
        Arrays.fill(halved, 0);
        Arrays.fill(all, 0);
        Simulation.play(
                Scenario.parse("steering", WORLD),
                (s, own, out, truth) -> {
                    Steered steered = new Steered(s, own, out, how);
                    return (LoadBalancer)
                            Proxy.newProxyInstance(
                                    getClass().getClassLoader(),
                                    new Class<?>[] {LoadBalancer.class},
                                    (proxy, method, args) -> steered.event(method, args));
                },
                seed);
        double[] shares = new double[5];
        for (int i = 0; i < 5; i++) {
            shares[i] = (double) halved[i] / all[i];
        }
        return shares;
    }

    @Test
    void halfTheFactorHalvesTheShareAndHoldsWhileTheWeightAloneIsTakenBack() throws Exception {
        double[] usual = shares(How.NONE, 1);
        double[] both = shares(How.TARGET_TOO, 1);
        double[] weight = shares(How.WEIGHT_ONLY, 1);
        for (int stretch = 1; stretch < 5; stretch++) {
            assertEquals(0.3, usual[stretch], 0.03);
            assertEquals(0.5, both[stretch] / usual[stretch], 0.05, "stretch " + stretch);
            assertTrue(weight[stretch] / usual[stretch] > 0.9, "stretch " + stretch);
        }
    }
}
