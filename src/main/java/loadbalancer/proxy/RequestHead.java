package loadbalancer.proxy;

import java.util.List;

/**
 * The part of a request that is forwarded beside its body, independent of the protocol.
 *
 * @param method by its name in capitals
 * @param target path and query, never with a scheme or host
 * @param authority the host that the client named; null if it named none
 * @param bodied whether there is a body, if only an empty one
 * @param fields all others, each name once
 */
public record RequestHead(
        String method, String target, String authority, boolean bodied, List<HeaderField> fields) {
    /** The time that the client will still wait, in milliseconds. */
    public static final String TIME_LEFT = "X-Time-Left-Ms";

    /** The probe that asks an endpoint for its load. */
    static RequestHead load(String authority) {
        return new RequestHead("GET", "/load", authority, false, List.of());
    }
}
