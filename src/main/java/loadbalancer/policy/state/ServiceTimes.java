package loadbalancer.policy.state;

import java.util.List;
import loadbalancer.EndpointSnapshot;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.LoadReport;
import loadbalancer.policy.data.DecayingMinimum;
import loadbalancer.policy.data.ExponentialSmoothing;

/**
 * Measured times of endpoints, in microseconds: the response time, the service time within it, and
 * the response time per request in the endpoint's queue.
 */
public final class ServiceTimes {
    /** Smoothing factor per response of one endpoint. */
    private static final double ENDPOINT_SMOOTHING = 0.15;

    /** Smoothing factor per response of any endpoint; small, because these are frequent. */
    private static final double OVERALL_SMOOTHING = 0.02;

    /** Drift of the minimum service time: it doubles in 30 seconds without a lower sample. */
    private static final double MIN_LOG_DRIFT_PER_MICRO = Math.log(2) / 30e6;

    /** Measured times of one endpoint. */
    static final class EndpointTimes {
        private final DecayingMinimum minServiceTime = new DecayingMinimum(MIN_LOG_DRIFT_PER_MICRO);
        private double responseMicros;
        private double microsPerQueuedRequest;

        double minServiceTime() {
            return minServiceTime.value();
        }

        double responseMicros() {
            return responseMicros;
        }

        double microsPerQueuedRequest() {
            return microsPerQueuedRequest;
        }

        void restore(EndpointSnapshot saved, long savedAtMicros) {
            minServiceTime.restart(saved.minUnitDurationMicros(), savedAtMicros);
            responseMicros = saved.responseTimeMicros();
            microsPerQueuedRequest = saved.responseTimePerQueuedMicros();
        }
    }

    private double typicalResponseMicros;
    private double typicalMicrosPerQueuedRequest;
    private double meanMinServiceTime;

    /**
     * Sets the response time per queued request that is assumed until responses have been measured.
     */
    public void setInitialMicrosPerQueuedRequest(double microsPerQueuedRequest) {
        typicalMicrosPerQueuedRequest = microsPerQueuedRequest;
    }

    /** Initializes a new endpoint with the typical response time per queued request. */
    public void initialize(Endpoint endpoint) {
        endpoint.times().microsPerQueuedRequest = typicalMicrosPerQueuedRequest;
    }

    /** Returns the response time per request in the queue of this endpoint. */
    public double microsPerQueuedRequest(Endpoint endpoint) {
        return endpoint.times().microsPerQueuedRequest;
    }

    /** Returns the response time per request in the queue, over all endpoints. */
    public double typicalMicrosPerQueuedRequest() {
        return typicalMicrosPerQueuedRequest;
    }

    /** Returns the response time over all endpoints; 0 before the first response. */
    public double typicalResponseMicros() {
        return typicalResponseMicros;
    }

    /** Returns the response time of this endpoint or over all endpoints, whichever is longer. */
    public double expectedResponseMicros(Endpoint endpoint) {
        return Math.max(endpoint.times().responseMicros, typicalResponseMicros);
    }

    /**
     * Returns the recent minimum of the endpoint's service time. If requests carry a work hint, it
     * is the service time per microsecond of expected work; otherwise it is in microseconds per
     * request.
     */
    public double minServiceTime(Endpoint endpoint) {
        return endpoint.times().minServiceTime();
    }

    /** Returns the mean of {@link #minServiceTime} over the endpoints, as last computed. */
    public double meanMinServiceTime() {
        return meanMinServiceTime;
    }

    /** Computes the mean of the endpoints' minimum service times. */
    public void updateMeanMinServiceTime(List<Endpoint> endpoints) {
        double sum = 0;
        for (Endpoint endpoint : endpoints) {
            sum += minServiceTime(endpoint);
        }
        meanMinServiceTime = sum / Math.max(1, endpoints.size());
    }

    /**
     * Records a response. {@code queueLength} is the queue length known when the request was sent,
     * including the request itself.
     */
    public void recordResponse(Endpoint endpoint, long durationMicros, double queueLength) {
        EndpointTimes times = endpoint.times();
        times.responseMicros =
                ExponentialSmoothing.smooth(
                        times.responseMicros, durationMicros, ENDPOINT_SMOOTHING);
        double microsPerQueuedRequest = durationMicros / Math.max(1, queueLength);
        times.microsPerQueuedRequest =
                ExponentialSmoothing.smooth(
                        times.microsPerQueuedRequest, microsPerQueuedRequest, ENDPOINT_SMOOTHING);
        typicalMicrosPerQueuedRequest =
                ExponentialSmoothing.smooth(
                        typicalMicrosPerQueuedRequest, microsPerQueuedRequest, OVERALL_SMOOTHING);
        typicalResponseMicros =
                ExponentialSmoothing.smooth(
                        typicalResponseMicros, durationMicros, OVERALL_SMOOTHING);
    }

    /**
     * Records that no response arrived in this time. This is a lower bound, so the response time
     * per queued request can only increase.
     */
    public void recordNoResponse(Endpoint endpoint, long waitedMicros, double queueLength) {
        EndpointTimes times = endpoint.times();
        double microsPerQueuedRequest = waitedMicros / Math.max(1, queueLength);
        times.microsPerQueuedRequest =
                Math.max(
                        times.microsPerQueuedRequest,
                        ExponentialSmoothing.smooth(
                                times.microsPerQueuedRequest,
                                microsPerQueuedRequest,
                                ENDPOINT_SMOOTHING));
    }

    /**
     * Records the service time of a response, and returns how long the request waited at the
     * endpoint: its response time beyond the recent minimum of the service time. The service time
     * in the endpoint's load report is not suitable as a base, because it rises with the queue at
     * an endpoint that slows down under concurrency.
     */
    public double recordServiceTime(
            Endpoint endpoint, OpenRequest request, long durationMicros, long nowMicros) {
        boolean hasWorkHint = request.request().expectedWorkMicros() > 0;
        endpoint.times()
                .minServiceTime
                .sample(serviceTimeSample(endpoint, request, durationMicros), nowMicros);
        double minServiceTime = minServiceTime(endpoint);
        return durationMicros
                - (hasWorkHint ? request.ownServiceMicros(minServiceTime) : minServiceTime);
    }

    private static double serviceTimeSample(
            Endpoint endpoint, OpenRequest request, long durationMicros) {
        if (request.request().expectedWorkMicros() > 0) {
            return durationMicros / request.costMicros();
        }
        LoadReport report = endpoint.weight().report();
        double reportedMicros = report == null ? Double.NaN : report.serviceTimeMicros();
        return reportedMicros > 0 ? reportedMicros : endpoint.times().responseMicros;
    }

    /** Returns whether no response has been measured or restored yet. */
    public boolean isEmpty() {
        return typicalResponseMicros == 0;
    }

    /** Restores the overall times of an earlier instance. */
    public void restore(LoadBalancerSnapshot saved) {
        typicalResponseMicros = saved.responseTimeMicros();
        typicalMicrosPerQueuedRequest = saved.responseTimePerQueuedMicros();
        meanMinServiceTime = saved.unitDurationMicros();
    }
}
