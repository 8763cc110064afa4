package loadbalancer.adapter;

import java.util.HexFormat;
import loadbalancer.LoadBalancerActions;

/** Writes the actions of one load balancer instance to the reply. */
final class ActionWriter implements LoadBalancerActions {
    private final ReplyWriter reply;
    private final int instance;

    ActionWriter(ReplyWriter reply, int instance) {
        this.reply = reply;
        this.instance = instance;
    }

    @Override
    public void sendAttempt(String requestId, String endpointId, long timeoutMicros) {
        reply.writeAction(
                instance,
                WireFieldNames.SEND_ATTEMPT,
                json -> {
                    json.writeStringField(WireFieldNames.REQUEST_ID, requestId);
                    json.writeStringField(WireFieldNames.ENDPOINT_ID, endpointId);
                    if (timeoutMicros != 0) {
                        ReplyWriter.writeSeconds(
                                json, WireFieldNames.TIMEOUT_SECONDS, timeoutMicros);
                    }
                });
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        reply.writeAction(
                instance,
                WireFieldNames.REJECT,
                json -> {
                    json.writeStringField(WireFieldNames.REQUEST_ID, requestId);
                    if (retryAfterMicros != 0) {
                        ReplyWriter.writeSeconds(
                                json, WireFieldNames.RETRY_AFTER_SECONDS, retryAfterMicros);
                    }
                });
    }

    @Override
    public void fail(String requestId) {
        writeTextAction(WireFieldNames.FAIL, WireFieldNames.REQUEST_ID, requestId);
    }

    @Override
    public void cancelAttempt(String requestId, int attemptIndex) {
        reply.writeAction(
                instance,
                WireFieldNames.CANCEL_ATTEMPT,
                json -> {
                    json.writeStringField(WireFieldNames.REQUEST_ID, requestId);
                    json.writeNumberField(WireFieldNames.ATTEMPT_INDEX, attemptIndex);
                });
    }

    @Override
    public void scheduleTimer(String token, long delayMicros) {
        reply.writeAction(
                instance,
                WireFieldNames.SCHEDULE_TIMER,
                json -> {
                    json.writeStringField(WireFieldNames.TIMER_TOKEN, token);
                    ReplyWriter.writeSeconds(json, WireFieldNames.DELAY_SECONDS, delayMicros);
                });
    }

    @Override
    public void probeEndpoint(String endpointId) {
        writeTextAction(WireFieldNames.PROBE_ENDPOINT, WireFieldNames.ENDPOINT_ID, endpointId);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        writeTextAction(
                WireFieldNames.CLOSE_IDLE_CONNECTIONS, WireFieldNames.ENDPOINT_ID, endpointId);
    }

    @Override
    public void watchEndpointList(boolean isWatching) {
        reply.writeAction(
                instance,
                WireFieldNames.WATCH_ENDPOINT_LIST,
                json -> json.writeBooleanField(WireFieldNames.IS_WATCHING, isWatching));
    }

    @Override
    public void fetchEndpointList() {
        reply.writeAction(instance, WireFieldNames.FETCH_ENDPOINT_LIST, json -> {});
    }

    @Override
    public void sendToPeer(int peerIndex, byte[] message) {
        reply.writeAction(
                instance,
                WireFieldNames.SEND_TO_PEER,
                json -> {
                    if (peerIndex < 0) {
                        json.writeStringField(
                                WireFieldNames.RECEIVING_PEER, WireFieldNames.ALL_PEERS);
                    } else {
                        json.writeNumberField(WireFieldNames.RECEIVING_PEER, peerIndex);
                    }
                    json.writeStringField(
                            WireFieldNames.MESSAGE, HexFormat.of().formatHex(message));
                });
    }

    @Override
    public void log(String message) {
        writeTextAction(WireFieldNames.LOG, WireFieldNames.TEXT, message);
    }

    private void writeTextAction(String kind, String fieldName, String text) {
        reply.writeAction(instance, kind, json -> json.writeStringField(fieldName, text));
    }
}
