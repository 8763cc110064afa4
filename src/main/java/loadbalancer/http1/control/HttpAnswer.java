package loadbalancer.http1.control;

import java.nio.charset.StandardCharsets;

/**
 * The whole answer to a call.
 *
 * @param status of HTTP
 * @param retryAfterMillis when to come back; 0 if it was not said
 * @param body as it came
 */
public record HttpAnswer(int status, long retryAfterMillis, byte[] body) {
    private static final int OK = 200;
    private static final int FIRST_ABOVE_SUCCESS = 300;

    /** Whether the call did what it was to do. */
    public boolean succeeded() {
        return status >= OK && status < FIRST_ABOVE_SUCCESS;
    }

    /** The first line of the body. */
    public String firstLine() {
        return new String(body, StandardCharsets.UTF_8)
                .lines()
                .findFirst()
                .orElse("status " + status);
    }
}
