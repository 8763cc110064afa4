package loadbalancer.proxy;

import java.util.List;

/**
 * The head of a request as it is forwarded, independent of the protocol.
 *
 * @param method name of the method in capitals
 * @param target path and query, without scheme and host
 * @param authority the host that the client named; null if it named none
 * @param bodied whether the request has a body, which may be empty
 * @param fields the remaining header fields; each name occurs once
 */
public record RequestHead(
        String method, String target, String authority, boolean bodied, List<HeaderField> fields) {
    /** Name of the header field with the milliseconds for which the client will still wait. */
    public static final String TIME_LEFT = "X-Time-Left-Ms";

    /** Returns the head of a load probe. */
    static RequestHead load(String authority) {
        return new RequestHead("GET", "/load", authority, false, List.of());
    }
}
