package loadbalancer.schedule.weighting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
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
 * Runs the unmodified policy with factors in a simulation. A shift of the target and of the leak is
 * emulated by shifting the load report in the opposite direction. The factor on the weight is
 * passed as a capacity weight, raised to the power with which the pick uses the weight.
 */
class FactorPlannerInSimulationTest {
    private static final double[] WANTED = {0.5, 0.5, 0.5, 1, 1, 1, 1, 1, 1, 1};
    private static final double[] CAPACITY = {1, 1, 1, 1, 1, 1, 1, 1, 1, 1};
    private static final int SERVERS = WANTED.length;
    private static final double LEAK_RATIO = 0.02; // same value as in the reweighting policy
    private static final String SCENARIO =
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

    private enum Steered {
        NONE,
        WEIGHT_ONLY,
        TARGET_TOO
    }

    /** Number of attempts at the upstreams with factor 0.5, per interval of ten seconds. */
    private final long[] halved = new long[10];

    /** Number of attempts at all upstreams, per interval of ten seconds. */
    private final long[] all = new long[10];

    /** Wraps the policy of one balancer and modifies its events. */
    private final class SteeredBalancer {
        private final ReweightingLoadBalancer policy;
        private final Steered steered;
        private final Map<String, Double> reported = new HashMap<>();
        private final HeadroomMonitor headroom = new HeadroomMonitor(line -> {});
        private double[] factors = CAPACITY;
        private long now;

        SteeredBalancer(
                LoadBalancerSettings settings,
                long seed,
                LoadBalancerActions out,
                Steered steered) {
            this.steered = steered;
            LoadBalancerActions counting =
                    (LoadBalancerActions)
                            Proxy.newProxyInstance(
                                    getClass().getClassLoader(),
                                    new Class<?>[] {LoadBalancerActions.class},
                                    (proxy, method, args) -> {
                                        if (method.getName().equals("sendAttempt")) {
                                            int interval = (int) ((now - 100_000_000) / 10_000_000);
                                            halved[interval] += isHalved((String) args[1]) ? 1 : 0;
                                            all[interval]++;
                                        }
                                        return call(out, method, args);
                                    });
            policy =
                    new ReweightingLoadBalancer(
                            new LoadBalancerSettings(
                                    settings.zoneIndex(),
                                    settings.zoneCount(),
                                    settings.balancerIndex(),
                                    settings.balancerCount(),
                                    settings.requestClasses(),
                                    settings.tenantQuotas(),
                                    settings.overQuotaWeightRatio(),
                                    settings.isWeightPerWork(),
                                    settings.limits(),
                                    settings.ruleLimits(),
                                    settings.prices(),
                                    settings.loadReportSource(),
                                    CapacityWeightKind.NOMINAL,
                                    settings.isEndpointListOnRequest(),
                                    settings.hasKeyAffinity(),
                                    settings.tickMicros()),
                            seed,
                            counting);
        }

        Object event(Method method, Object[] args) throws Throwable {
            now = args != null && args.length > 0 && args[0] instanceof Long micros ? micros : now;
            if (method.getName().equals("updateEndpoints")) {
                List<EndpointDescriptor> rated = new ArrayList<>();
                for (Object upstream : (List<?>) args[2]) {
                    EndpointDescriptor listed = (EndpointDescriptor) upstream;
                    double weight = steered != Steered.NONE && isHalved(listed.id()) ? 0.5 : 1;
                    rated.add(
                            new EndpointDescriptor(
                                    listed.id(),
                                    listed.zoneIndex(),
                                    listed.machineKindIndex(),
                                    listed.cellIndex(),
                                    listed.state(),
                                    Math.pow(weight, 0.25),
                                    listed.launchedAtMicros()));
                }
                policy.updateEndpoints(now, (EndpointListUpdateType) args[1], rated);
                return null;
            }
            if (method.getName().equals("attemptEnded")) {
                AttemptResult end = (AttemptResult) args[1];
                policy.attemptEnded(
                        now,
                        new AttemptResult(
                                end.requestId(),
                                end.attemptIndex(),
                                end.endpointId(),
                                end.outcome(),
                                end.durationMicros(),
                                end.isRequestConcluded(),
                                end.loadReport() == null
                                        ? null
                                        : shifted(end.endpointId(), end.loadReport())));
                return null;
            }
            return call(policy, method, args);
        }

        private LoadReport shifted(String id, LoadReport load) {
            reported.put(id, load.utilization());
            if (steered != Steered.TARGET_TOO) {
                return load;
            }
            int index = Integer.parseInt(id.substring(1));
            double[] loads = new double[SERVERS];
            for (int i = 0; i < SERVERS; i++) {
                loads[i] = reported.getOrDefault("s" + i, Double.NaN);
            }
            double mean = FactorPlanner.meanUtilisation(loads, CAPACITY, factors);
            factors = FactorPlanner.plan(WANTED, CAPACITY, headroom.smooth(mean)).factors();
            double logWeight =
                    policy.exportState(now, 0, SERVERS).endpoints().stream()
                            .filter(known -> known.id().equals(id))
                            .mapToDouble(EndpointSnapshot::logWeight)
                            .findFirst()
                            .orElse(0);
            double shift =
                    FactorPlanner.targetUtilisation(factors[index], mean)
                            - plainMean(loads)
                            + (isHalved(id) ? LEAK_RATIO * logWeight : 0);
            return new LoadReport(
                    load.utilization() - shift,
                    load.activeRequests(),
                    load.queuedRequests(),
                    load.serviceTimeMicros(),
                    load.requestsPerSecond(),
                    load.errorsPerSecond());
        }
    }

    private static Object call(Object on, Method method, Object[] args) throws Throwable {
        try {
            return method.invoke(on, args);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    /** Returns the mean that the policy itself steers to. */
    private static double plainMean(double[] loads) {
        return Arrays.stream(loads).filter(load -> !Double.isNaN(load)).average().orElse(0);
    }

    private static boolean isHalved(String id) {
        return WANTED[Integer.parseInt(id.substring(1))] == 0.5;
    }

    /** Returns the share of the upstreams with factor 0.5, per interval of ten seconds. */
    private double[] shares(Steered steered, long seed) throws Exception {
        Arrays.fill(halved, 0);
        Arrays.fill(all, 0);
        Simulation.play(
                Scenario.parse("steering", SCENARIO),
                (settings, own, out, truth) -> {
                    SteeredBalancer balancer = new SteeredBalancer(settings, own, out, steered);
                    return (LoadBalancer)
                            Proxy.newProxyInstance(
                                    getClass().getClassLoader(),
                                    new Class<?>[] {LoadBalancer.class},
                                    (proxy, method, args) -> balancer.event(method, args));
                },
                seed);
        double[] shares = new double[5];
        for (int i = 0; i < 5; i++) {
            shares[i] = (double) halved[i] / all[i];
        }
        return shares;
    }

    @Test
    void factorOnWeightAndTargetHalvesTheShareAndOnWeightAloneIsUndone() throws Exception {
        double[] usual = shares(Steered.NONE, 1);
        double[] both = shares(Steered.TARGET_TOO, 1);
        double[] weight = shares(Steered.WEIGHT_ONLY, 1);
        for (int interval = 1; interval < 5; interval++) {
            assertEquals(0.3, usual[interval], 0.03);
            assertEquals(0.5, both[interval] / usual[interval], 0.05, "interval " + interval);
            assertTrue(weight[interval] / usual[interval] > 0.9, "interval " + interval);
        }
    }
}
