package loadbalancer.settings;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.CapacityWeightKind;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadBalancerLimits;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.LoadReportSource;
import loadbalancer.Prices;
import loadbalancer.RequestClass;
import loadbalancer.RuleLimits;
import loadbalancer.TenantQuota;

/** Reads the settings of a balancer from JSON; unknown fields are skipped. */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * Reads one settings object, and uses the default for each absent field. The parser must be at
     * its start token.
     *
     * @throws UnknownSettingValueException if an enumerated setting has an unknown value
     * @throws IOException if the JSON is malformed
     */
    public static LoadedSettings read(JsonParser parser)
            throws UnknownSettingValueException, IOException {
        return convert(SettingsObject.read(parser));
    }

    /**
     * Reads the settings object of a configuration file, in which only optional fields may be
     * absent; see {@link RequiredFields}. The parser must be at its start token.
     *
     * @param path path of the object in its file, for messages
     * @throws MissingSettingException if a required field is absent or of another type
     * @throws UnknownSettingValueException if an enumerated setting has an unknown value
     * @throws IOException if the JSON is malformed
     */
    public static LoadedSettings readComplete(JsonParser parser, String path)
            throws MissingSettingException, UnknownSettingValueException, IOException {
        SettingsObject object = SettingsObject.read(parser);
        RequiredFields.check(object, path);
        return convert(object);
    }

    private static LoadedSettings convert(SettingsObject object)
            throws UnknownSettingValueException {
        return new LoadedSettings(
                settings(object),
                object.object(SettingsFieldNames.LOAD_REPORT)
                        .textsOf(
                                SettingsFieldNames.REPORT_VALUE_NAMES, SettingsObject.LIST_ELEMENT),
                object.textsOf(SettingsFieldNames.REQUEST_CLASSES, SettingsFieldNames.NAME),
                object.textsOf(SettingsFieldNames.TENANTS, SettingsFieldNames.NAME),
                object.textsOf(SettingsFieldNames.ZONES, SettingsObject.LIST_ELEMENT),
                object.textsOf(SettingsFieldNames.MACHINE_KINDS, SettingsObject.LIST_ELEMENT));
    }

    private static LoadBalancerSettings settings(SettingsObject object)
            throws UnknownSettingValueException {
        return new LoadBalancerSettings(
                object.integer(SettingsFieldNames.ZONE, 0),
                Math.max(1, object.list(SettingsFieldNames.ZONES).size()),
                object.integer(SettingsFieldNames.BALANCER_INDEX, 0),
                object.integer(SettingsFieldNames.BALANCER_COUNT, 1),
                requestClasses(object.list(SettingsFieldNames.REQUEST_CLASSES)),
                tenantQuotas(object.list(SettingsFieldNames.TENANTS)),
                object.number(SettingsFieldNames.OVER_QUOTA_WEIGHT_RATIO, 1),
                object.text(SettingsFieldNames.WEIGHT_UNIT, "")
                        .equals(SettingsFieldNames.WEIGHT_UNIT_WORK),
                limits(object.object(SettingsFieldNames.LIMITS)),
                ruleLimits(object.object(SettingsFieldNames.RULE_LIMITS)),
                prices(object.object(SettingsFieldNames.PRICES)),
                object.object(SettingsFieldNames.LOAD_REPORT)
                        .choice(
                                SettingsFieldNames.REPORT_SOURCE,
                                SettingsFieldNames.REPORT_SOURCES,
                                LoadReportSource.NONE),
                object.choice(
                        SettingsFieldNames.CAPACITY_WEIGHTS,
                        SettingsFieldNames.CAPACITY_WEIGHT_KINDS,
                        CapacityWeightKind.NONE),
                object.text(SettingsFieldNames.DISCOVERY, "")
                        .equals(SettingsFieldNames.DISCOVERY_ON_REQUEST),
                object.object(SettingsFieldNames.SERVICE_PROPERTIES)
                        .flag(SettingsFieldNames.KEY_AFFINITY),
                object.micros(SettingsFieldNames.TICK_SECONDS));
    }

    private static List<RequestClass> requestClasses(List<SettingsObject> objects)
            throws UnknownSettingValueException {
        List<RequestClass> classes = new ArrayList<>();
        for (SettingsObject object : objects) {
            classes.add(requestClass(object));
        }
        return classes;
    }

    private static RequestClass requestClass(SettingsObject object)
            throws UnknownSettingValueException {
        return new RequestClass(
                object.text(SettingsFieldNames.NAME, ""),
                object.micros(SettingsFieldNames.LATENCY_OBJECTIVE_SECONDS),
                object.number(SettingsFieldNames.OBJECTIVE_WORK_MULTIPLE, 0),
                object.micros(SettingsFieldNames.CLIENT_TIMEOUT_SECONDS),
                object.number(SettingsFieldNames.PRIORITY_WEIGHT, 1),
                object.number(SettingsFieldNames.LATE_RESPONSE_RATIO, 0),
                object.choice(
                        SettingsFieldNames.IDEMPOTENCY,
                        SettingsFieldNames.IDEMPOTENCIES,
                        Idempotency.NOT_IDEMPOTENT),
                object.choice(
                        SettingsFieldNames.IDEMPOTENCY_SCOPE,
                        SettingsFieldNames.IDEMPOTENCY_SCOPES,
                        IdempotencyScope.CELL),
                object.micros(SettingsFieldNames.IDEMPOTENCY_WINDOW_SECONDS),
                object.flag(SettingsFieldNames.STREAMING));
    }

    private static List<TenantQuota> tenantQuotas(List<SettingsObject> objects) {
        List<TenantQuota> quotas = new ArrayList<>();
        for (SettingsObject object : objects) {
            quotas.add(
                    new TenantQuota(
                            object.number(SettingsFieldNames.QUOTA_REQUESTS_PER_SECOND, 0),
                            object.number(SettingsFieldNames.SERVICE_FRACTION, 0)));
        }
        return quotas;
    }

    private static LoadBalancerLimits limits(SettingsObject object) {
        return new LoadBalancerLimits(
                object.integer(SettingsFieldNames.MAX_ATTEMPTS, 1),
                object.flag(SettingsFieldNames.HEDGING_ALLOWED),
                object.flag(SettingsFieldNames.PROBING_ALLOWED),
                object.flag(SettingsFieldNames.CANCELLATION_ALLOWED),
                object.flag(SettingsFieldNames.PEER_MESSAGING_ALLOWED),
                object.integer(SettingsFieldNames.MAX_OPEN_REQUESTS, 0),
                object.flag(SettingsFieldNames.RETRY_AFTER_ALLOWED),
                object.micros(SettingsFieldNames.MAX_RETRY_AFTER_SECONDS),
                object.micros(SettingsFieldNames.CONNECT_TIMEOUT_SECONDS),
                object.micros(SettingsFieldNames.IDLE_CONNECTION_TIMEOUT_SECONDS),
                object.integer(SettingsFieldNames.ATTEMPTS_PER_CONNECTION, 1));
    }

    private static RuleLimits ruleLimits(SettingsObject object) {
        return new RuleLimits(
                object.micros(SettingsFieldNames.FINAL_RESPONSE_SLACK_SECONDS),
                object.micros(SettingsFieldNames.MAX_LIST_AGE_SECONDS),
                object.number(SettingsFieldNames.INITIAL_CAPACITY_RATIO, 1),
                object.micros(SettingsFieldNames.SLOW_START_SECONDS),
                object.micros(SettingsFieldNames.DRAIN_GRACE_SECONDS),
                object.number(SettingsFieldNames.OVERLOAD_CAPACITY_MULTIPLE, 1),
                object.micros(SettingsFieldNames.OVERLOAD_WINDOW_SECONDS));
    }

    private static Prices prices(SettingsObject object) {
        return new Prices(
                object.number(SettingsFieldNames.CROSS_ZONE_ATTEMPT, 0),
                object.number(SettingsFieldNames.WASTED_WORK, 0),
                object.number(SettingsFieldNames.PROBE, 0),
                object.number(SettingsFieldNames.PEER_MESSAGE, 0),
                object.number(SettingsFieldNames.LATE_FAILURE, 0),
                object.number(SettingsFieldNames.CONNECTION_HANDSHAKE, 0));
    }
}
