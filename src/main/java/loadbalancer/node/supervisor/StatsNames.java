package loadbalancer.node.supervisor;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Names in a balancer's STATS, and the request classes in them. Stateless. */
final class StatsNames {
    private static final String HANDLED_PREFIX = "app.handled.";
    private static final String SERVED_SUFFIX = ".passed";
    private static final String LATE_SUFFIX = ".late";
    private static final String REJECTED_SUFFIX = ".dropped";
    private static final String FAILED_SUFFIX = ".bad_gateway";
    private static final String ATTEMPTS_PREFIX = "app.tries.";
    private static final String RESPONSE_TIMES_PREFIX = "app.times.";

    private StatsNames() {}

    /** The request classes that have counters. */
    static Set<String> requestClasses(Map<String, Long> counters) {
        return counters.keySet().stream()
                .filter(StatsNames::isServed)
                .map(
                        name ->
                                name.substring(
                                        HANDLED_PREFIX.length(),
                                        name.length() - SERVED_SUFFIX.length()))
                .collect(Collectors.toSet());
    }

    private static boolean isServed(String name) {
        return name.startsWith(HANDLED_PREFIX)
                && name.endsWith(SERVED_SUFFIX)
                && name.length() > HANDLED_PREFIX.length() + SERVED_SUFFIX.length();
    }

    /** Requests with a response of an upstream, late ones among them. */
    static String served(String requestClass) {
        return HANDLED_PREFIX + requestClass + SERVED_SUFFIX;
    }

    /** Requests served after their latency objective. */
    static String servedLate(String requestClass) {
        return HANDLED_PREFIX + requestClass + LATE_SUFFIX;
    }

    /** Requests that the balancer rejected. */
    static String rejected(String requestClass) {
        return HANDLED_PREFIX + requestClass + REJECTED_SUFFIX;
    }

    /** Requests without a response of an upstream. */
    static String failed(String requestClass) {
        return HANDLED_PREFIX + requestClass + FAILED_SUFFIX;
    }

    /** Attempts at upstreams. */
    static String attempts(String requestClass) {
        return ATTEMPTS_PREFIX + requestClass;
    }

    /** Responses in a bucket of {@code LatencyBuckets}. */
    static String responseTimes(String requestClass, int bucket) {
        return RESPONSE_TIMES_PREFIX + requestClass + "." + bucket;
    }
}
