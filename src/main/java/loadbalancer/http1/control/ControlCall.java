package loadbalancer.http1.control;

import io.netty.handler.codec.http.HttpMethod;

/** The calls that a control server supports, with their method, path and body limit. */
enum ControlCall {
    /** Opens a subscription. */
    SUBSCRIBE(HttpMethod.GET, ControlProtocol.SUBSCRIPTION_PATH, 0),
    /** Acknowledges an update or reports its rejection. */
    ACKNOWLEDGE(
            HttpMethod.POST,
            ControlProtocol.ACKNOWLEDGEMENT_PATH,
            ControlProtocol.MAX_ACKNOWLEDGEMENT_BYTES),
    /** Reports the status of the subscribers of another control server. */
    REPORT(HttpMethod.POST, ControlProtocol.REPORT_PATH, ControlProtocol.MAX_REPORT_BYTES),
    /** Reads the status of the control server. */
    STATUS(HttpMethod.GET, ControlProtocol.STATUS_PATH, 0),
    /** Submits a change. */
    CHANGE(HttpMethod.POST, ControlProtocol.CHANGE_PATH, ControlProtocol.MAX_CHANGE_BYTES);

    private final HttpMethod method;
    private final String path;
    private final int maxBodyBytes;

    ControlCall(HttpMethod method, String path, int maxBodyBytes) {
        this.method = method;
        this.path = path;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns the call with the given path; null if there is none. */
    static ControlCall at(String path) {
        for (ControlCall call : values()) {
            if (call.path.equals(path)) {
                return call;
            }
        }
        return null;
    }

    HttpMethod method() {
        return method;
    }

    int maxBodyBytes() {
        return maxBodyBytes;
    }
}
