package loadbalancer.http1.control;

import java.nio.charset.StandardCharsets;

/**
 * A complete response to a call.
 *
 * @param status the HTTP status code
 * @param retryAfterMillis the delay in the Retry-After header; 0 if it is absent
 * @param body the body as received
 */
public record CallResponse(int status, long retryAfterMillis, byte[] body) {
    private static final int OK = 200;
    private static final int FIRST_ABOVE_SUCCESS = 300;

    /** Whether the status is in the 2xx class. */
    public boolean isSuccess() {
        return status >= OK && status < FIRST_ABOVE_SUCCESS;
    }

    /** Returns the first line of the body, or a text with the status if the body is empty. */
    public String firstLine() {
        return new String(body, StandardCharsets.UTF_8)
                .lines()
                .findFirst()
                .orElse("status " + status);
    }
}
