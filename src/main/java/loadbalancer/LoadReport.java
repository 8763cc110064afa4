package loadbalancer;

/**
 * What an endpoint reports of its load. A value that it does not report is NaN.
 *
 * @param utilization used part of its CPU, from 0 to 1
 * @param activeRequests requests in execution
 * @param queuedRequests requests in its queue
 * @param serviceTimeMicros recent service time of a request
 * @param requestsPerSecond requests served
 * @param errorsPerSecond requests that ended in an error
 */
public record LoadReport(
        double utilization,
        double activeRequests,
        double queuedRequests,
        double serviceTimeMicros,
        double requestsPerSecond,
        double errorsPerSecond) {}
