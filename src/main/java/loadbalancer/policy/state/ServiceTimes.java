package loadbalancer.policy.state;

import java.util.List;
import loadbalancer.EndpointSnapshot;
import loadbalancer.LoadBalancerSnapshot;
import loadbalancer.LoadReport;
import loadbalancer.policy.data.DecayingMinimum;
import loadbalancer.policy.data.ExponentialSmoothing;

/**
 * Measured times of endpoints, in microseconds: of a response, of the service within it, and the
 * pace, which is the response time for each request in the endpoint's queue.
 */
public final class ServiceTimes {
    /** Per response of one endpoint. */
    private static final double ENDPOINT_SMOOTHING = 0.15;

    /** Per response of any endpoint; small, since these are many. */
    private static final double OVERALL_SMOOTHING = 0.02;

    /** The minimum service time doubles in half a minute without a lower sample. */
    private static final double MIN_LOG_DRIFT_PER_MICRO = Math.log(2) / 30e6;

    /** What is kept of one endpoint. */
    static final class EndpointTimes {
        private final DecayingMinimum minServiceTime = new DecayingMinimum(MIN_LOG_DRIFT_PER_MICRO);
        private double responseMicros;
        private double paceMicros;

        double minServiceTime() {
            return minServiceTime.value();
        }

        double responseMicros() {
            return responseMicros;
        }

        double paceMicros() {
            return paceMicros;
        }

        void restore(EndpointSnapshot saved, long savedAtMicros) {
            minServiceTime.restart(saved.minUnitDurationMicros(), savedAtMicros);
            responseMicros = saved.responseTimeMicros();
            paceMicros = saved.responseTimePerQueuedMicros();
        }
    }

    private double typicalResponseMicros;
    private double typicalPaceMicros;
    private double meanMinServiceTime;

    /** Sets the pace that is assumed until responses have been measured. */
    public void setInitialPaceMicros(double paceMicros) {
        typicalPaceMicros = paceMicros;
    }

    /** Gives a new endpoint the typical pace. */
    public void initialize(Endpoint endpoint) {
        endpoint.times().paceMicros = typicalPaceMicros;
    }

    /** Response time per request in the queue of this endpoint. */
    public double paceMicros(Endpoint endpoint) {
        return endpoint.times().paceMicros;
    }

    /** Response time per request in the queue, over all endpoints. */
    public double typicalPaceMicros() {
        return typicalPaceMicros;
    }

    /** Response time over all endpoints; 0 before the first response. */
    public double typicalResponseMicros() {
        return typicalResponseMicros;
    }

    /** Response time of this endpoint or over all, whichever is longer. */
    public double expectedResponseMicros(Endpoint endpoint) {
        return Math.max(endpoint.times().responseMicros, typicalResponseMicros);
    }

    /**
     * Recent minimum of the endpoint's service time: per microsecond of expected work where
     * requests carry a hint of their work, else microseconds per request.
     */
    public double minServiceTime(Endpoint endpoint) {
        return endpoint.times().minServiceTime();
    }

    /** The mean of {@link #minServiceTime} over the endpoints, as last computed. */
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
     * Records a response; the queue length includes the request itself, as known at its sending.
     */
    public void recordResponse(Endpoint endpoint, long tookMicros, double queueLength) {
        EndpointTimes times = endpoint.times();
        times.responseMicros =
                ExponentialSmoothing.smooth(times.responseMicros, tookMicros, ENDPOINT_SMOOTHING);
        double paceMicros = tookMicros / Math.max(1, queueLength);
        times.paceMicros =
                ExponentialSmoothing.smooth(times.paceMicros, paceMicros, ENDPOINT_SMOOTHING);
        typicalPaceMicros =
                ExponentialSmoothing.smooth(typicalPaceMicros, paceMicros, OVERALL_SMOOTHING);
        typicalResponseMicros =
                ExponentialSmoothing.smooth(typicalResponseMicros, tookMicros, OVERALL_SMOOTHING);
    }

    /**
     * Records that no response came in this time: a lower bound, so the pace can only get worse.
     */
    public void recordNoResponse(Endpoint endpoint, long waitedMicros, double queueLength) {
        EndpointTimes times = endpoint.times();
        double paceMicros = waitedMicros / Math.max(1, queueLength);
        times.paceMicros =
                Math.max(
                        times.paceMicros,
                        ExponentialSmoothing.smooth(
                                times.paceMicros, paceMicros, ENDPOINT_SMOOTHING));
    }

    /**
     * Records the service time of a response, and returns how long the request waited at the
     * endpoint: all beyond the recent minimum of the service time. The service time in the
     * endpoint's report does not serve for that, since it rises with the queue at an endpoint that
     * slows down under concurrency.
     */
    public double recordWaitingMicros(
            Endpoint endpoint, OpenRequest request, long tookMicros, long nowMicros) {
        boolean hasWorkHint = request.request().expectedWorkMicros() > 0;
        endpoint.times()
                .minServiceTime
                .sample(serviceTimeSample(endpoint, request, tookMicros), nowMicros);
        double minServiceTime = minServiceTime(endpoint);
        return tookMicros
                - (hasWorkHint ? request.ownServiceMicros(minServiceTime) : minServiceTime);
    }

    private static double serviceTimeSample(
            Endpoint endpoint, OpenRequest request, long tookMicros) {
        if (request.request().expectedWorkMicros() > 0) {
            return tookMicros / request.costMicros();
        }
        LoadReport report = endpoint.weight().report();
        double reportedMicros = report == null ? Double.NaN : report.serviceTimeMicros();
        return reportedMicros > 0 ? reportedMicros : endpoint.times().responseMicros;
    }

    /** Whether no response has been measured or restored yet. */
    public boolean isEmpty() {
        return typicalResponseMicros == 0;
    }

    /** Takes over the overall times of an earlier instance. */
    public void restore(LoadBalancerSnapshot saved) {
        typicalResponseMicros = saved.responseTimeMicros();
        typicalPaceMicros = saved.responseTimePerQueuedMicros();
        meanMinServiceTime = saved.unitDurationMicros();
    }
}
