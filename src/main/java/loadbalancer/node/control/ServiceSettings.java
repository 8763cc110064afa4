package loadbalancer.node.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancer.Effect;
import loadbalancer.LoadBalancer.Scope;
import loadbalancer.LoadBalancer.Settings;
import loadbalancer.control.model.Limits;
import loadbalancer.control.model.RequestClass;
import loadbalancer.control.model.Tenant;
import loadbalancer.settings.SettingsReader;

/**
 * Overlays the resources of a service on the settings of the local file. Classes, tenants and
 * limits from control replace those of the file; where control has none, the file's stay. Those
 * that the file names, too, keep the file's order, since requests and metrics refer to them by
 * index; the others follow by name. Stateless.
 */
final class ServiceSettings {
    private final SettingsReader.Found file;
    private final ServiceResources resources;

    private ServiceSettings(SettingsReader.Found file, ServiceResources resources) {
        this.file = file;
        this.resources = resources;
    }

    /** The merged settings; not checked yet. */
    static SettingsReader.Found over(SettingsReader.Found file, ServiceResources resources) {
        return new ServiceSettings(file, resources).found();
    }

    private SettingsReader.Found found() {
        List<RequestClass> classes =
                inOrderOf(file.classes(), resources.classes(), RequestClass::name);
        List<Tenant> tenants = inOrderOf(file.tenants(), resources.tenants(), Tenant::name);
        return new SettingsReader.Found(
                settings(classes, tenants),
                file.reportNames(),
                classes.isEmpty()
                        ? file.classes()
                        : classes.stream().map(RequestClass::name).toList(),
                tenants.isEmpty() ? file.tenants() : tenants.stream().map(Tenant::name).toList(),
                file.zones(),
                file.kinds());
    }

    private Settings settings(List<RequestClass> classes, List<Tenant> tenants) {
        Settings base = file.settings();
        return new Settings(
                base.zone(),
                base.zones(),
                base.position(),
                base.groupSize(),
                classes.isEmpty()
                        ? base.classes()
                        : classes.stream().map(this::requestClass).toList(),
                tenants.isEmpty()
                        ? base.tenants()
                        : tenants.stream().map(ServiceSettings::tenant).toList(),
                base.overShareWorth(),
                base.worthByWork(),
                limits(base.limits()),
                base.rules(),
                base.prices(),
                base.reports(),
                base.ratings(),
                base.askForList(),
                base.warmKeys(),
                base.tick());
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
    private LoadBalancer.RequestClass requestClass(RequestClass given) {
        int place = file.classes().indexOf(given.name());
        LoadBalancer.RequestClass known = place < 0 ? null : file.settings().classes().get(place);
        return new LoadBalancer.RequestClass(
                given.name(),
                SettingsReader.micros(given.latencyObjectiveSeconds()),
                known == null ? 0 : known.aimStretch(),
                SettingsReader.micros(given.timeoutSeconds()),
                given.priorityWeight(),
                given.lateWeightFraction(),
                effect(given.retrySafety()),
                scope(given.deduplicationScope()),
                SettingsReader.micros(given.deduplicationWindowSeconds()),
                known != null && known.stream());
    }

    private static Effect effect(RequestClass.RetrySafety retrySafety) {
        return switch (retrySafety) {
            case IDEMPOTENT -> Effect.SAFE;
            case IDEMPOTENCY_KEY -> Effect.KEYED;
            case NOT_IDEMPOTENT -> Effect.UNSAFE;
        };
    }

    private static Scope scope(RequestClass.DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> Scope.ALL;
            case ZONE -> Scope.ZONE;
            case CELL -> Scope.CELL;
        };
    }

    private static LoadBalancer.Tenant tenant(Tenant given) {
        return new LoadBalancer.Tenant(given.allowancePerSecond(), given.quotaFraction());
    }

    private LoadBalancer.Limits limits(LoadBalancer.Limits base) {
        Limits given = resources.limits();
        if (given == null) {
            return base;
        }
        return new LoadBalancer.Limits(
                given.maxAttempts(),
                base.secondCopies(),
                base.probes(),
                base.cancel(),
                base.peers(),
                given.maxInFlight(),
                given.sendsRetryAfter(),
                SettingsReader.micros(given.maxRetryAfterSeconds()),
                SettingsReader.micros(given.connectTimeoutSeconds()),
                SettingsReader.micros(given.connectIdleSeconds()),
                base.streamsPerConnection());
    }
}
