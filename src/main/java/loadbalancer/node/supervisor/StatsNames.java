package loadbalancer.node.supervisor;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Builds the names of the counters in a balancer's STATS response, and finds the request classes in
 * them. Stateless.
 */
final class StatsNames {
    private static final String HANDLED_PREFIX = "app.handled.";
    private static final String SERVED_SUFFIX = ".passed";
    private static final String LATE_SUFFIX = ".late";
    private static final String REJECTED_SUFFIX = ".dropped";
    private static final String FAILED_SUFFIX = ".bad_gateway";
    private static final String ATTEMPTS_PREFIX = "app.tries.";
    private static final String RESPONSE_TIMES_PREFIX = "app.times.";

    private StatsNames() {}

    /** Returns the names of the request classes that have counters. */
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

    /**
     * Returns the name of the counter of requests with a response of an upstream, including late
     * ones.
     */
    static String served(String requestClass) {
        return HANDLED_PREFIX + requestClass + SERVED_SUFFIX;
    }

    /** Returns the name of the counter of requests served later than their latency objective. */
    static String servedLate(String requestClass) {
        return HANDLED_PREFIX + requestClass + LATE_SUFFIX;
    }

    /** Returns the name of the counter of requests that the balancer rejected. */
    static String rejected(String requestClass) {
        return HANDLED_PREFIX + requestClass + REJECTED_SUFFIX;
    }

    /** Returns the name of the counter of requests without a response of an upstream. */
    static String failed(String requestClass) {
        return HANDLED_PREFIX + requestClass + FAILED_SUFFIX;
    }

    /** Returns the name of the counter of attempts sent to upstreams. */
    static String attempts(String requestClass) {
        return ATTEMPTS_PREFIX + requestClass;
    }

    /** Returns the name of the counter of responses in a bucket of {@code LatencyBuckets}. */
    static String responseTimes(String requestClass, int bucket) {
        return RESPONSE_TIMES_PREFIX + requestClass + "." + bucket;
    }
}
