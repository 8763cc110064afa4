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
 * limits from control servers replace those of the file; a kind without any resource keeps the
 * file's values. Classes and tenants that the file also names keep the file's order, since requests
 * and metrics refer to them by index; the others follow, sorted by name. Immutable.
 */
final class ServiceSettings {
    private final LoadedSettings file;
    private final ServiceResources resources;

    private ServiceSettings(LoadedSettings file, ServiceResources resources) {
        this.file = file;
        this.resources = resources;
    }

    /** Returns the merged settings, which are not checked yet. */
    static LoadedSettings overlay(LoadedSettings file, ServiceResources resources) {
        return new ServiceSettings(file, resources).merge();
    }

    private LoadedSettings merge() {
        List<RequestClass> classes =
                inFileOrder(file.classNames(), resources.classes(), RequestClass::name);
        List<Tenant> tenants = inFileOrder(file.tenantNames(), resources.tenants(), Tenant::name);
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
                        : tenants.stream().map(ServiceSettings::tenantQuota).toList(),
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

    private static <T> List<T> inFileOrder(
            List<String> fileNames, List<T> given, Function<T, String> name) {
        Map<String, T> remaining = new HashMap<>();
        given.forEach(item -> remaining.put(name.apply(item), item));
        List<T> ordered = new ArrayList<>();
        for (String fileName : fileNames) {
            T match = remaining.remove(fileName);
            if (match != null) {
                ordered.add(match);
            }
        }
        given.stream()
                .filter(item -> remaining.containsKey(name.apply(item)))
                .forEach(ordered::add);
        return ordered;
    }

    /**
     * Converts a class. The objective's work multiple and the streaming flag, which control servers
     * do not provide, are taken from the file's class of the same name.
     */
    private loadbalancer.RequestClass requestClass(RequestClass given) {
        int index = file.classNames().indexOf(given.name());
        loadbalancer.RequestClass fileClass =
                index < 0 ? null : file.settings().requestClasses().get(index);
        return new loadbalancer.RequestClass(
                given.name(),
                Micros.fromSeconds(given.latencyObjectiveSeconds()),
                fileClass == null ? 0 : fileClass.objectiveWorkMultiple(),
                Micros.fromSeconds(given.timeoutSeconds()),
                given.priorityWeight(),
                given.lateWeightFraction(),
                idempotency(given.retrySafety()),
                idempotencyScope(given.deduplicationScope()),
                Micros.fromSeconds(given.deduplicationWindowSeconds()),
                fileClass != null && fileClass.isStreaming());
    }

    private static Idempotency idempotency(RequestClass.RetrySafety retrySafety) {
        return switch (retrySafety) {
            case IDEMPOTENT -> Idempotency.IDEMPOTENT;
            case IDEMPOTENCY_KEY -> Idempotency.KEYED;
            case NOT_IDEMPOTENT -> Idempotency.NOT_IDEMPOTENT;
        };
    }

    private static IdempotencyScope idempotencyScope(RequestClass.DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> IdempotencyScope.ALL;
            case ZONE -> IdempotencyScope.ZONE;
            case CELL -> IdempotencyScope.CELL;
        };
    }

    private static TenantQuota tenantQuota(Tenant given) {
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
