package loadbalancer.settings;

import java.util.List;
import java.util.function.Predicate;
import loadbalancer.Idempotency;

/**
 * The fields that the settings of a configuration file must have, each with a value of its type. A
 * field that is not listed here may be absent; docs/configuration.md names its default. Whether a
 * file is complete depends on that file alone, not on the one in force. Stateless.
 */
final class RequiredFields {
    private static final List<String> NUMBERS =
            List.of(
                    SettingsFieldNames.ZONE,
                    SettingsFieldNames.BALANCER_INDEX,
                    SettingsFieldNames.BALANCER_COUNT,
                    SettingsFieldNames.OVER_QUOTA_WEIGHT_RATIO,
                    SettingsFieldNames.TICK_SECONDS);
    private static final List<String> TEXTS =
            List.of(SettingsFieldNames.CAPACITY_WEIGHTS, SettingsFieldNames.DISCOVERY);
    private static final List<String> LISTS =
            List.of(
                    SettingsFieldNames.ZONES,
                    SettingsFieldNames.MACHINE_KINDS,
                    SettingsFieldNames.REQUEST_CLASSES,
                    SettingsFieldNames.TENANTS);
    private static final List<String> CLASS_TEXTS =
            List.of(SettingsFieldNames.NAME, SettingsFieldNames.IDEMPOTENCY);
    private static final List<String> CLASS_NUMBERS =
            List.of(
                    SettingsFieldNames.LATENCY_OBJECTIVE_SECONDS,
                    SettingsFieldNames.CLIENT_TIMEOUT_SECONDS,
                    SettingsFieldNames.PRIORITY_WEIGHT,
                    SettingsFieldNames.LATE_RESPONSE_RATIO);
    private static final List<String> KEYED_CLASS_TEXTS =
            List.of(SettingsFieldNames.IDEMPOTENCY_SCOPE);
    private static final List<String> KEYED_CLASS_NUMBERS =
            List.of(SettingsFieldNames.IDEMPOTENCY_WINDOW_SECONDS);
    private static final List<String> TENANT_TEXTS = List.of(SettingsFieldNames.NAME);
    private static final List<String> TENANT_NUMBERS = List.of(SettingsFieldNames.SERVICE_FRACTION);
    private static final List<String> LIMIT_NUMBERS =
            List.of(
                    SettingsFieldNames.MAX_ATTEMPTS,
                    SettingsFieldNames.HEDGING_ALLOWED,
                    SettingsFieldNames.PROBING_ALLOWED,
                    SettingsFieldNames.CANCELLATION_ALLOWED,
                    SettingsFieldNames.PEER_MESSAGING_ALLOWED,
                    SettingsFieldNames.MAX_OPEN_REQUESTS,
                    SettingsFieldNames.RETRY_AFTER_ALLOWED,
                    SettingsFieldNames.MAX_RETRY_AFTER_SECONDS,
                    SettingsFieldNames.CONNECT_TIMEOUT_SECONDS,
                    SettingsFieldNames.IDLE_CONNECTION_TIMEOUT_SECONDS,
                    SettingsFieldNames.ATTEMPTS_PER_CONNECTION);
    private static final List<String> RULE_LIMIT_NUMBERS =
            List.of(
                    SettingsFieldNames.FINAL_RESPONSE_SLACK_SECONDS,
                    SettingsFieldNames.MAX_LIST_AGE_SECONDS,
                    SettingsFieldNames.INITIAL_CAPACITY_RATIO,
                    SettingsFieldNames.SLOW_START_SECONDS,
                    SettingsFieldNames.DRAIN_GRACE_SECONDS,
                    SettingsFieldNames.OVERLOAD_CAPACITY_MULTIPLE,
                    SettingsFieldNames.OVERLOAD_WINDOW_SECONDS);
    private static final List<String> PRICE_NUMBERS =
            List.of(
                    SettingsFieldNames.CROSS_ZONE_ATTEMPT,
                    SettingsFieldNames.WASTED_WORK,
                    SettingsFieldNames.PROBE,
                    SettingsFieldNames.PEER_MESSAGE,
                    SettingsFieldNames.LATE_FAILURE,
                    SettingsFieldNames.CONNECTION_HANDSHAKE);
    private static final List<String> REPORT_TEXTS = List.of(SettingsFieldNames.REPORT_SOURCE);
    private static final List<String> REPORT_LISTS = List.of(SettingsFieldNames.REPORT_VALUE_NAMES);

    private RequiredFields() {}

    /**
     * Checks that all required fields are present.
     *
     * @param path path of the settings in their file
     * @throws MissingSettingException with the path of the first field that is absent or of another
     *     type
     */
    static void check(SettingsObject settings, String path) throws MissingSettingException {
        requireAll(NUMBERS, settings::hasNumber, path);
        requireAll(TEXTS, settings::hasText, path);
        requireAll(LISTS, settings::hasList, path);
        List<SettingsObject> classes = settings.list(SettingsFieldNames.REQUEST_CLASSES);
        for (int i = 0; i < classes.size(); i++) {
            checkClass(classes.get(i), element(path, SettingsFieldNames.REQUEST_CLASSES, i));
        }
        List<SettingsObject> tenants = settings.list(SettingsFieldNames.TENANTS);
        for (int i = 0; i < tenants.size(); i++) {
            checkTenant(tenants.get(i), element(path, SettingsFieldNames.TENANTS, i));
        }
        requireNumbersOf(settings, SettingsFieldNames.LIMITS, LIMIT_NUMBERS, path);
        requireNumbersOf(settings, SettingsFieldNames.RULE_LIMITS, RULE_LIMIT_NUMBERS, path);
        requireNumbersOf(settings, SettingsFieldNames.PRICES, PRICE_NUMBERS, path);
        checkLoadReport(settings, path);
    }

    private static void checkClass(SettingsObject requestClass, String path)
            throws MissingSettingException {
        requireAll(CLASS_TEXTS, requestClass::hasText, path);
        requireAll(CLASS_NUMBERS, requestClass::hasNumber, path);
        String idempotency = requestClass.text(SettingsFieldNames.IDEMPOTENCY, "");
        boolean isKeyed = SettingsFieldNames.IDEMPOTENCIES.get(idempotency) == Idempotency.KEYED;
        if (isKeyed) {
            requireAll(KEYED_CLASS_TEXTS, requestClass::hasText, path);
            requireAll(KEYED_CLASS_NUMBERS, requestClass::hasNumber, path);
        }
    }

    private static void checkTenant(SettingsObject tenant, String path)
            throws MissingSettingException {
        requireAll(TENANT_TEXTS, tenant::hasText, path);
        requireAll(TENANT_NUMBERS, tenant::hasNumber, path);
    }

    private static void checkLoadReport(SettingsObject settings, String path)
            throws MissingSettingException {
        requireAll(List.of(SettingsFieldNames.LOAD_REPORT), settings::hasObject, path);
        SettingsObject report = settings.object(SettingsFieldNames.LOAD_REPORT);
        String reportPath = path + "." + SettingsFieldNames.LOAD_REPORT;
        requireAll(REPORT_TEXTS, report::hasText, reportPath);
        requireAll(REPORT_LISTS, report::hasList, reportPath);
    }

    private static void requireNumbersOf(
            SettingsObject settings, String objectName, List<String> names, String path)
            throws MissingSettingException {
        requireAll(List.of(objectName), settings::hasObject, path);
        requireAll(names, settings.object(objectName)::hasNumber, path + "." + objectName);
    }

    private static void requireAll(List<String> names, Predicate<String> isPresent, String path)
            throws MissingSettingException {
        for (String name : names) {
            if (!isPresent.test(name)) {
                throw new MissingSettingException(path + "." + name);
            }
        }
    }

    private static String element(String path, String listName, int index) {
        return path + "." + listName + "[" + index + "]";
    }
}
