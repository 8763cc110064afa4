package loadbalancer.node.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.TenantQuota;
import loadbalancer.control.model.Limits;
import loadbalancer.control.model.RequestClass;
import loadbalancer.control.model.Tenant;
import loadbalancer.settings.LoadedSettings;
import loadbalancer.settings.Micros;

/**
 * Overlays the resources of a service on the settings of the local file. Classes, tenants and
 * limits from control replace those of the file; where control has none, the file's stay. Those
 * that the file names, too, keep the file's order, since requests and metrics refer to them by
 * index; the others follow by name. Stateless.
 */
final class ServiceSettings {
    private final LoadedSettings file;
    private final ServiceResources resources;

    private ServiceSettings(LoadedSettings file, ServiceResources resources) {
        this.file = file;
        this.resources = resources;
    }

    /** The merged settings; not checked yet. */
    static LoadedSettings over(LoadedSettings file, ServiceResources resources) {
        return new ServiceSettings(file, resources).found();
    }

    private LoadedSettings found() {
        List<RequestClass> classes =
                inOrderOf(file.classNames(), resources.classes(), RequestClass::name);
        List<Tenant> tenants = inOrderOf(file.tenantNames(), resources.tenants(), Tenant::name);
        return new LoadedSettings(
                settings(classes, tenants),
                file.reportValueNames(),
                classes.isEmpty()
                        ? file.classNames()
                        : classes.stream().map(RequestClass::name).toList(),
                tenants.isEmpty()
                        ? file.tenantNames()
                        : tenants.stream().map(Tenant::name).toList(),
                file.zoneNames(),
                file.machineKindNames());
    }

    private LoadBalancerSettings settings(List<RequestClass> classes, List<Tenant> tenants) {
        LoadBalancerSettings base = file.settings();
        return new LoadBalancerSettings(
                base.zoneIndex(),
                base.zoneCount(),
                base.balancerIndex(),
                base.balancerCount(),
                classes.isEmpty()
                        ? base.requestClasses()
                        : classes.stream().map(this::requestClass).toList(),
                tenants.isEmpty()
                        ? base.tenantQuotas()
                        : tenants.stream().map(ServiceSettings::tenant).toList(),
                base.overQuotaWeightRatio(),
                base.isWeightPerWork(),
                limits(base.limits()),
                base.ruleLimits(),
                base.prices(),
                base.loadReportSource(),
                base.capacityWeightKind(),
                base.isEndpointListOnRequest(),
                base.hasKeyAffinity(),
                base.tickMicros());
    }

    private static <T> List<T> inOrderOf(
            List<String> order, List<T> given, Function<T, String> name) {
        Map<String, T> left = new HashMap<>();
        given.forEach(one -> left.put(name.apply(one), one));
        List<T> ordered = new ArrayList<>();
        for (String first : order) {
            T known = left.remove(first);
            if (known != null) {
                ordered.add(known);
            }
        }
        given.stream().filter(one -> left.containsKey(name.apply(one))).forEach(ordered::add);
        return ordered;
    }

    /**
     * What a class from control does not have, the stretch of its latency objective and streaming,
     * is taken from the file.
     */
    private loadbalancer.RequestClass requestClass(RequestClass given) {
        int place = file.classNames().indexOf(given.name());
        loadbalancer.RequestClass known =
                place < 0 ? null : file.settings().requestClasses().get(place);
        return new loadbalancer.RequestClass(
                given.name(),
                Micros.fromSeconds(given.latencyObjectiveSeconds()),
                known == null ? 0 : known.objectiveWorkMultiple(),
                Micros.fromSeconds(given.timeoutSeconds()),
                given.priorityWeight(),
                given.lateWeightFraction(),
                effect(given.retrySafety()),
                scope(given.deduplicationScope()),
                Micros.fromSeconds(given.deduplicationWindowSeconds()),
                known != null && known.isStreaming());
    }

    private static Idempotency effect(RequestClass.RetrySafety retrySafety) {
        return switch (retrySafety) {
            case IDEMPOTENT -> Idempotency.IDEMPOTENT;
            case IDEMPOTENCY_KEY -> Idempotency.KEYED;
            case NOT_IDEMPOTENT -> Idempotency.NOT_IDEMPOTENT;
        };
    }

    private static IdempotencyScope scope(RequestClass.DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> IdempotencyScope.ALL;
            case ZONE -> IdempotencyScope.ZONE;
            case CELL -> IdempotencyScope.CELL;
        };
    }

    private static TenantQuota tenant(Tenant given) {
        return new TenantQuota(given.allowancePerSecond(), given.quotaFraction());
    }

    private LoadBalancerLimits limits(LoadBalancerLimits base) {
        Limits given = resources.limits();
        if (given == null) {
            return base;
        }
        return new LoadBalancerLimits(
                given.maxAttempts(),
                base.isHedgingAllowed(),
                base.isProbingAllowed(),
                base.isCancellationAllowed(),
                base.isPeerMessagingAllowed(),
                given.maxInFlight(),
                given.sendsRetryAfter(),
                Micros.fromSeconds(given.maxRetryAfterSeconds()),
                Micros.fromSeconds(given.connectTimeoutSeconds()),
                Micros.fromSeconds(given.connectIdleSeconds()),
                base.attemptsPerConnection());
    }
}
