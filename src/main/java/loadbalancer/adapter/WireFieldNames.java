package loadbalancer.adapter;

import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;

/**
 * Names in the simulator's protocol: fields, kinds of events and actions, and enumerated values.
 * The other classes of this package map them to the terms of {@link loadbalancer.LoadBalancer}; no
 * class outside of this package uses them.
 */
final class WireFieldNames {
    // Fields of a batch and of a reply
    static final String CLOCK_SECONDS = "moment-s";
    static final String EVENTS = "input";
    static final String ACTIONS = "decisions";

    // Fields of all events and actions
    static final String KIND = "kind";
    static final String INSTANCE = "who";

    // Kinds of events
    static final String CREATE_INSTANCE = "create";
    static final String DESTROY_INSTANCE = "destroy";
    static final String ENDPOINT_LIST_UPDATE = "sync";
    static final String REQUEST_RECEIVED = "work-item";
    static final String ATTEMPT_ENDED = "answer";
    static final String PROBE_COMPLETED = "ping-result";
    static final String CLIENT_DISCONNECTED = "client-gone";
    static final String RESPONSE_STARTED = "opened";
    static final String TIMER_EXPIRED = "reminder";
    static final String PEER_MESSAGE_RECEIVED = "whisper";
    static final Set<String> EVENT_KINDS =
            Set.of(
                    CREATE_INSTANCE,
                    DESTROY_INSTANCE,
                    ENDPOINT_LIST_UPDATE,
                    REQUEST_RECEIVED,
                    ATTEMPT_ENDED,
                    PROBE_COMPLETED,
                    CLIENT_DISCONNECTED,
                    RESPONSE_STARTED,
                    TIMER_EXPIRED,
                    PEER_MESSAGE_RECEIVED);

    // Fields of events
    static final String SEED = "init-seed";
    static final String SETTINGS = "facts";
    static final String REQUEST_ID = "corr";
    static final String ENDPOINT_ID = "upstream";
    static final String ATTEMPT_INDEX = "attempt";
    static final String OUTCOME = "ending";
    static final String DURATION_SECONDS = "took-s";
    static final String IS_REQUEST_CONCLUDED = "last";
    static final String LOAD_REPORT = "feedback";
    static final String IS_WRITE = "is-write";
    static final String IS_RETRY = "is-retry";
    static final String EXPECTED_WORK_SECONDS = "effort-s";
    static final String TIME_LEFT_SECONDS = "time-budget-s";
    static final String CLASS_INDEX = "lane";
    static final String TENANT_INDEX = "party";
    static final String AFFINITY_KEY = "entity";
    static final String TIMER_TOKEN = "ctx";
    static final String UPDATE_TYPE = "form";
    static final String ENDPOINTS = "elements";
    static final String PEER_INDEX = "from";
    static final String MESSAGE = "body";

    // Fields of an endpoint in an endpoint list update, besides ENDPOINT_ID
    static final String ZONE_INDEX = "failure-domain";
    static final String MACHINE_KIND_INDEX = "type";
    static final String CELL_INDEX = "block";
    static final String ENDPOINT_STATE = "readiness";
    static final String CAPACITY_WEIGHT = "rating";
    static final String LAUNCHED_AT_SECONDS = "launched-s";

    // Kinds of actions
    static final String SEND_ATTEMPT = "relay";
    static final String REJECT = "turn-away";
    static final String FAIL = "surrender";
    static final String CANCEL_ATTEMPT = "cancel";
    static final String SCHEDULE_TIMER = "remind";
    static final String PROBE_ENDPOINT = "ask-load";
    static final String CLOSE_IDLE_CONNECTIONS = "shut-idle";
    static final String WATCH_ENDPOINT_LIST = "tail";
    static final String FETCH_ENDPOINT_LIST = "reload";
    static final String SEND_TO_PEER = "share";
    static final String LOG = "record";
    static final String REPORT_BUG = "bug";

    // Fields of actions, besides those that events have too
    static final String TIMEOUT_SECONDS = "allow-for-s";
    static final String RETRY_AFTER_SECONDS = "come-back-s";
    static final String DELAY_SECONDS = "sleep-for-s";
    static final String IS_WATCHING = "want";
    static final String RECEIVING_PEER = "target";
    static final String ALL_PEERS = "all";
    static final String TEXT = "msg";

    static final Map<String, EndpointState> ENDPOINT_STATES =
            Map.of(
                    "Ready",
                    EndpointState.READY,
                    "Terminating",
                    EndpointState.DRAINING,
                    "Gone",
                    EndpointState.REMOVED);
    static final Map<String, EndpointListUpdateType> UPDATE_TYPES =
            Map.of(
                    "update",
                    EndpointListUpdateType.DELTA,
                    "replace",
                    EndpointListUpdateType.FULL,
                    "restored",
                    EndpointListUpdateType.RESTORED,
                    "unavailable",
                    EndpointListUpdateType.UNAVAILABLE);

    /** Attempt outcomes in the order of their codes in the protocol, which start at 0. */
    static final List<AttemptOutcome> OUTCOMES =
            List.of(
                    AttemptOutcome.SUCCESS,
                    AttemptOutcome.ERROR,
                    AttemptOutcome.REJECTED,
                    AttemptOutcome.TIMEOUT,
                    AttemptOutcome.CONNECT_FAILED,
                    AttemptOutcome.CONNECTION_RESET,
                    AttemptOutcome.CANCELLED,
                    AttemptOutcome.NOT_SENT);

    private WireFieldNames() {}
}
