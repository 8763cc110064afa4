package loadbalancer.settings;

import java.util.Map;
import loadbalancer.CapacityWeightKind;
import loadbalancer.Idempotency;
import loadbalancer.IdempotencyScope;
import loadbalancer.LoadReportSource;

/**
 * Field names and values of the settings in the platform's JSON, which are used in {@code facts} of
 * the simulator's protocol and in a balancer's configuration file. {@link SettingsReader} maps them
 * to the terms of {@link loadbalancer.LoadBalancerSettings}; no other class uses them.
 */
final class SettingsFieldNames {
    static final String NAME = "name";

    // Fields of the balancer
    static final String ZONE = "az";
    static final String ZONES = "localities";
    static final String BALANCER_INDEX = "position";
    static final String BALANCER_COUNT = "group-size";
    static final String REQUEST_CLASSES = "classes";
    static final String TENANTS = "parties";
    static final String MACHINE_KINDS = "kinds";
    static final String OVER_QUOTA_WEIGHT_RATIO = "over-share-worth";
    static final String WEIGHT_UNIT = "counted-by";
    static final String WEIGHT_UNIT_WORK = "work";
    static final String LIMITS = "ceilings";
    static final String RULE_LIMITS = "rules";
    static final String PRICES = "prices";
    static final String LOAD_REPORT = "report";
    static final String CAPACITY_WEIGHTS = "weights";
    static final String DISCOVERY = "discovery";
    static final String DISCOVERY_ON_REQUEST = "on_request";
    static final String SERVICE_PROPERTIES = "extra";
    static final String KEY_AFFINITY = "warm-keys";
    static final String TICK_SECONDS = "tick-s";

    // Fields of a request class
    static final String LATENCY_OBJECTIVE_SECONDS = "aim-s";
    static final String OBJECTIVE_WORK_MULTIPLE = "aim-stretch";
    static final String CLIENT_TIMEOUT_SECONDS = "give-up-s";
    static final String PRIORITY_WEIGHT = "worth";
    static final String LATE_RESPONSE_RATIO = "late-worth";
    static final String IDEMPOTENCY = "repeat";
    static final String IDEMPOTENCY_SCOPE = "dedup-scope";
    static final String IDEMPOTENCY_WINDOW_SECONDS = "memory-span-s";
    static final String STREAMING = "stream";

    // Fields of a tenant
    static final String QUOTA_REQUESTS_PER_SECOND = "allowance-per-s";
    static final String SERVICE_FRACTION = "share";

    // Fields of the limits
    static final String MAX_ATTEMPTS = "try-limit";
    static final String HEDGING_ALLOWED = "may-duplicate";
    static final String PROBING_ALLOWED = "probes";
    static final String CANCELLATION_ALLOWED = "cancel";
    static final String PEER_MESSAGING_ALLOWED = "peers";
    static final String MAX_OPEN_REQUESTS = "max-open";
    static final String RETRY_AFTER_ALLOWED = "retry-after";
    static final String MAX_RETRY_AFTER_SECONDS = "max-retry-after-s";
    static final String CONNECT_TIMEOUT_SECONDS = "connect-timeout-s";
    static final String IDLE_CONNECTION_TIMEOUT_SECONDS = "conn-idle-s";
    static final String ATTEMPTS_PER_CONNECTION = "multiplex";

    // Fields of the rule limits
    static final String FINAL_RESPONSE_SLACK_SECONDS = "answer-slack-s";
    static final String MAX_LIST_AGE_SECONDS = "ask-within-s";
    static final String INITIAL_CAPACITY_RATIO = "start-capacity";
    static final String SLOW_START_SECONDS = "cold-s";
    static final String DRAIN_GRACE_SECONDS = "drain-grace-s";
    static final String OVERLOAD_CAPACITY_MULTIPLE = "fall-multiple";
    static final String OVERLOAD_WINDOW_SECONDS = "fall-s";

    // Fields of the prices
    static final String CROSS_ZONE_ATTEMPT = "cross-zone";
    static final String WASTED_WORK = "waste";
    static final String PROBE = "probe";
    static final String PEER_MESSAGE = "peer";
    static final String LATE_FAILURE = "late-fail";
    static final String CONNECTION_HANDSHAKE = "handshake";

    // Fields that describe load reports
    static final String REPORT_VALUE_NAMES = "names";
    static final String REPORT_SOURCE = "via";

    // Values of enumerated fields
    static final Map<String, Idempotency> IDEMPOTENCIES =
            Map.of(
                    "free",
                    Idempotency.IDEMPOTENT,
                    "guarded",
                    Idempotency.KEYED,
                    "single_shot",
                    Idempotency.NOT_IDEMPOTENT);
    static final Map<String, IdempotencyScope> IDEMPOTENCY_SCOPES =
            Map.of(
                    "all",
                    IdempotencyScope.ALL,
                    "zone",
                    IdempotencyScope.ZONE,
                    "cell",
                    IdempotencyScope.CELL);
    static final Map<String, LoadReportSource> REPORT_SOURCES =
            Map.of(
                    "piggyback",
                    LoadReportSource.RESPONSES,
                    "pull",
                    LoadReportSource.PROBES,
                    "silent",
                    LoadReportSource.NONE);
    static final Map<String, CapacityWeightKind> CAPACITY_WEIGHT_KINDS =
            Map.of(
                    "silent",
                    CapacityWeightKind.NONE,
                    "nominal",
                    CapacityWeightKind.NOMINAL,
                    "rough",
                    CapacityWeightKind.APPROXIMATE,
                    "live",
                    CapacityWeightKind.LIVE);

    private SettingsFieldNames() {}
}
