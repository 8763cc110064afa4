package loadbalancer;

/**
 * A load report of an endpoint. Values that the endpoint does not report are NaN.
 *
 * @param utilization fraction of its CPU in use, from 0 to 1
 * @param activeRequests requests in execution
 * @param queuedRequests requests in its queue
 * @param serviceTimeMicros recent service time of a request
 * @param requestsPerSecond rate of served requests
 * @param errorsPerSecond rate of requests that ended in an error
 */
public record LoadReport(
        double utilization,
        double activeRequests,
        double queuedRequests,
        double serviceTimeMicros,
        double requestsPerSecond,
        double errorsPerSecond) {}
