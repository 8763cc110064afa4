package loadbalancer.http1.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Thrown for a message that is not a valid request. The connection ends after an error response
 * with this status and message.
 */
final class RejectedRequestException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient HttpResponseStatus status;

    RejectedRequestException(HttpResponseStatus status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** Returns the status of the error response, in the 4xx class. */
    HttpResponseStatus status() {
        return status;
    }
}
