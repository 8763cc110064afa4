package loadbalancer.http1.control;

import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.publish.Admission;

/**
 * Dispatches complete requests to the handlers of their calls and passes the results to the
 * connections of the requests. Used on the event loop only.
 */
final class ControlCallDispatcher {
    private final SubscriptionHandler subscriptions;
    private final ChangeHandler changes;
    private final StatusHandler status;

    ControlCallDispatcher(
            SubscriptionHandler subscriptions, ChangeHandler changes, StatusHandler status) {
        this.subscriptions = subscriptions;
        this.changes = changes;
        this.status = status;
    }

    /** Dispatches a request; the response may be written during this call or later. */
    void dispatch(IncomingRequest request, ControlConnection connection) {
        try {
            switch (request.call()) {
                case SUBSCRIBE -> subscribe(SubscribeQuery.read(request.query()), connection);
                case ACKNOWLEDGE -> acknowledge(request.body(), connection);
                case REPORT -> report(request.body(), connection);
                case STATUS ->
                        connection.respond(
                                ControlResponses.json(MessageCodec.encode(status.status())));
                default -> change(request.body(), connection);
            }
        } catch (InvalidChangeException e) {
            connection.respond(
                    ControlResponses.textLine(HttpResponseStatus.BAD_REQUEST, e.getMessage()));
        } catch (IllegalArgumentException e) {
            connection.respondAndClose(
                    ControlResponses.textLine(
                            HttpResponseStatus.BAD_REQUEST, "the query can't be decoded"));
        }
    }

    private void subscribe(SubscribeRequest request, ControlConnection connection) {
        Admission admission =
                subscriptions.subscribe(
                        request, connection.subscriberChannel(request.subscriber()));
        if (admission instanceof Admission.Admitted admitted) {
            connection.startSubscription(admitted.subscription());
        } else if (admission instanceof Admission.Deferred deferred) {
            connection.respond(
                    ControlResponses.unavailable(deferred.retryAfterMillis(), deferred.reason()));
        }
    }

    private void acknowledge(byte[] body, ControlConnection connection)
            throws InvalidChangeException {
        subscriptions.acknowledge(ResourceCodec.readAcknowledgement(body));
        connection.respond(ControlResponses.noContent());
    }

    private void report(byte[] body, ControlConnection connection) throws InvalidChangeException {
        status.report(MessageCodec.readReport(body));
        connection.respond(ControlResponses.noContent());
    }

    private void change(byte[] body, ControlConnection connection) {
        connection.startChange();
        changes.change(body, connection::completeChange);
    }
}
