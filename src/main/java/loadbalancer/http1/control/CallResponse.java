package loadbalancer.http1.control;

import java.nio.charset.StandardCharsets;

/**
 * The complete response to a call.
 *
 * @param status the HTTP status code
 * @param retryAfterMillis of its Retry-After; 0 if there is none
 * @param body as received
 */
public record CallResponse(int status, long retryAfterMillis, byte[] body) {
    private static final int OK = 200;
    private static final int FIRST_ABOVE_SUCCESS = 300;

    /** Whether the status is one of success. */
    public boolean isSuccess() {
        return status >= OK && status < FIRST_ABOVE_SUCCESS;
    }

    /** The first line of the body; names the status if the body is empty. */
    public String firstLine() {
        return new String(body, StandardCharsets.UTF_8)
                .lines()
                .findFirst()
                .orElse("status " + status);
    }
}
