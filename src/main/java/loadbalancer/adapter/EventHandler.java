package loadbalancer.adapter;

import java.io.PrintStream;
import java.util.HexFormat;
import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.AttemptResult;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.LoadReport;
import loadbalancer.RequestDescriptor;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.settings.LoadReportValues;
import loadbalancer.settings.Micros;

/**
 * Validates the fields that the kind of an event requires and calls the load balancer of the
 * event's instance.
 */
final class EventHandler {
    private final Instances instances;
    private final PrintStream err;

    EventHandler(Instances instances, PrintStream err) {
        this.instances = instances;
        this.err = err;
    }

    /**
     * Handles one event.
     *
     * @throws InvalidInputException if a field is missing or invalid, or there is no such instance
     */
    void handle(WireEvent event, long nowMicros) throws InvalidInputException {
        WireEvent.require(event.kind != null, WireFieldNames.KIND);
        if (!WireFieldNames.EVENT_KINDS.contains(event.kind)) {
            err.println("skipped an event of unknown kind " + event.kind);
            return;
        }
        int instance = WireEvent.requiredInteger(event.instance, WireFieldNames.INSTANCE);
        switch (event.kind) {
            case WireFieldNames.CREATE_INSTANCE -> create(event, instance, nowMicros);
            case WireFieldNames.DESTROY_INSTANCE -> instances.destroy(instance);
            case WireFieldNames.ENDPOINT_LIST_UPDATE -> updateEndpoints(event, instance, nowMicros);
            case WireFieldNames.REQUEST_RECEIVED -> requestReceived(event, instance, nowMicros);
            case WireFieldNames.ATTEMPT_ENDED -> attemptEnded(event, instance, nowMicros);
            case WireFieldNames.PROBE_COMPLETED -> probeCompleted(event, instance, nowMicros);
            case WireFieldNames.CLIENT_DISCONNECTED ->
                    clientDisconnected(event, instance, nowMicros);
            case WireFieldNames.RESPONSE_STARTED -> responseStarted(event, instance, nowMicros);
            case WireFieldNames.TIMER_EXPIRED -> timerExpired(event, instance, nowMicros);
            default -> peerMessageReceived(event, instance, nowMicros);
        }
    }

    private void create(WireEvent event, int instance, long nowMicros)
            throws MissingFieldException {
        WireEvent.require(event.settings != null, WireFieldNames.SETTINGS);
        WireEvent.require(!Double.isNaN(event.seed), WireFieldNames.SEED);
        instances.create(instance, nowMicros, event.exactSeed, event.settings);
    }

    private void updateEndpoints(WireEvent event, int instance, long nowMicros)
            throws InvalidInputException {
        EndpointListUpdateType type =
                event.updateType == null ? null : WireFieldNames.UPDATE_TYPES.get(event.updateType);
        WireEvent.require(type != null, WireFieldNames.UPDATE_TYPE);
        WireEvent.require(
                event.endpoints != null || type == EndpointListUpdateType.UNAVAILABLE,
                WireFieldNames.ENDPOINTS);
        List<EndpointDescriptor> endpoints = event.endpoints == null ? List.of() : event.endpoints;
        instances.deliver(
                instance, balancer -> balancer.updateEndpoints(nowMicros, type, endpoints));
    }

    private void requestReceived(WireEvent event, int instance, long nowMicros)
            throws InvalidInputException {
        WireEvent.require(event.requestId != null, WireFieldNames.REQUEST_ID);
        WireEvent.require(!Double.isNaN(event.timeLeftSeconds), WireFieldNames.TIME_LEFT_SECONDS);
        int classIndex = WireEvent.requiredInteger(event.classIndex, WireFieldNames.CLASS_INDEX);
        RequestDescriptor request =
                new RequestDescriptor(
                        event.requestId,
                        classIndex,
                        Double.isNaN(event.tenantIndex) ? 0 : (int) event.tenantIndex,
                        event.affinityKey,
                        Double.isNaN(event.expectedWorkSeconds)
                                ? 0
                                : Micros.fromSeconds(event.expectedWorkSeconds),
                        Micros.fromSeconds(event.timeLeftSeconds),
                        event.isWrite,
                        event.isRetry);
        instances.deliver(instance, balancer -> balancer.requestReceived(nowMicros, request));
    }

    private void attemptEnded(WireEvent event, int instance, long nowMicros)
            throws InvalidInputException {
        WireEvent.require(event.requestId != null, WireFieldNames.REQUEST_ID);
        WireEvent.require(event.endpointId != null, WireFieldNames.ENDPOINT_ID);
        WireEvent.require(event.isRequestConcluded != null, WireFieldNames.IS_REQUEST_CONCLUDED);
        AttemptResult result =
                new AttemptResult(
                        event.requestId,
                        attemptIndex(event),
                        event.endpointId,
                        outcome(event),
                        durationMicros(event),
                        event.isRequestConcluded,
                        loadReport(event, instance));
        instances.deliver(instance, balancer -> balancer.attemptEnded(nowMicros, result));
    }

    private void probeCompleted(WireEvent event, int instance, long nowMicros)
            throws InvalidInputException {
        WireEvent.require(event.endpointId != null, WireFieldNames.ENDPOINT_ID);
        AttemptOutcome outcome = outcome(event);
        LoadReport loadReport = loadReport(event, instance);
        instances.deliver(
                instance,
                balancer ->
                        balancer.probeCompleted(nowMicros, event.endpointId, outcome, loadReport));
    }

    private void clientDisconnected(WireEvent event, int instance, long nowMicros)
            throws InvalidInputException {
        WireEvent.require(event.requestId != null, WireFieldNames.REQUEST_ID);
        instances.deliver(
                instance, balancer -> balancer.clientDisconnected(nowMicros, event.requestId));
    }

    private void responseStarted(WireEvent event, int instance, long nowMicros)
            throws InvalidInputException {
        WireEvent.require(event.requestId != null, WireFieldNames.REQUEST_ID);
        int attemptIndex = attemptIndex(event);
        instances.deliver(
                instance,
                balancer -> balancer.responseStarted(nowMicros, event.requestId, attemptIndex));
    }

    private void timerExpired(WireEvent event, int instance, long nowMicros)
            throws InvalidInputException {
        WireEvent.require(event.timerToken != null, WireFieldNames.TIMER_TOKEN);
        instances.deliver(instance, balancer -> balancer.timerExpired(nowMicros, event.timerToken));
    }

    private void peerMessageReceived(WireEvent event, int instance, long nowMicros)
            throws InvalidInputException {
        int peerIndex = WireEvent.requiredInteger(event.peerIndex, WireFieldNames.PEER_INDEX);
        WireEvent.require(event.messageHex != null, WireFieldNames.MESSAGE);
        byte[] message;
        try {
            message = HexFormat.of().parseHex(event.messageHex);
        } catch (IllegalArgumentException e) {
            throw new InvalidFieldException(WireFieldNames.MESSAGE, "is not a hexadecimal string");
        }
        instances.deliver(
                instance, balancer -> balancer.peerMessageReceived(nowMicros, peerIndex, message));
    }

    private static int attemptIndex(WireEvent event) throws MissingFieldException {
        return WireEvent.requiredInteger(event.attemptIndex, WireFieldNames.ATTEMPT_INDEX);
    }

    private static long durationMicros(WireEvent event) throws MissingFieldException {
        WireEvent.require(!Double.isNaN(event.durationSeconds), WireFieldNames.DURATION_SECONDS);
        return Micros.fromSeconds(event.durationSeconds);
    }

    private static AttemptOutcome outcome(WireEvent event) throws InvalidInputException {
        int code = WireEvent.requiredInteger(event.outcomeCode, WireFieldNames.OUTCOME);
        if (code < 0 || code >= WireFieldNames.OUTCOMES.size()) {
            throw new InvalidFieldException(
                    WireFieldNames.OUTCOME, "has the unknown outcome code " + code);
        }
        return WireFieldNames.OUTCOMES.get(code);
    }

    /** Returns the load report of an event; null if the event has none. */
    private LoadReport loadReport(WireEvent event, int instance) {
        List<String> names = instances.reportValueNames(instance);
        if (event.reportValues == null || names == null) {
            return null;
        }
        LoadReportValues report = new LoadReportValues();
        for (int i = 0; i < names.size() && i < event.reportValues.length; i++) {
            report.set(names.get(i), event.reportValues[i]);
        }
        return report.toLoadReport();
    }
}
