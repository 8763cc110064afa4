package loadbalancer.http1.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;

/** A message that is no valid request; its connection ends with the response that it names. */
final class RejectedRequestException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient HttpResponseStatus status;

    RejectedRequestException(HttpResponseStatus status, String reason) {
        super(reason, null, false, false);
        this.status = status;
    }

    /** The status of the response, of class 4xx. */
    HttpResponseStatus status() {
        return status;
    }
}
