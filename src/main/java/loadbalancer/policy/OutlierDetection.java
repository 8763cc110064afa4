package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.EndpointList;
import loadbalancer.policy.state.OutlierState;
import loadbalancer.policy.state.ServiceTimes;

/**
 * Outlier detection: passive health checks based on the outcomes of attempts.
 *
 * <p>Decides which endpoints are ejected and for how long, and when so many are ejected that
 * ejections are ignored (panic mode). Inputs are outcomes of attempts with their times, and the
 * work in flight and typical response times of an endpoint.
 *
 * <p>Removes no endpoint from the list, and does not change weights or limits.
 */
final class OutlierDetection {
    /**
     * Multiple of the expected response time after which an endpoint without any response counts as
     * unresponsive.
     */
    private static final double UNRESPONSIVE_MULTIPLE = 6;

    private static final long FIRST_EJECTION_MICROS = 1_000_000;

    /** Upper bound of the ejection time, which doubles with each ejection. */
    private static final long MAX_EJECTION_MICROS = 8_000_000;

    /** Fraction of available endpoints below which panic mode applies. */
    private static final double PANIC_THRESHOLD = 0.4;

    /** Smoothing factor for an endpoint's error ratio, applied to each outcome. */
    private static final double ERROR_SMOOTHING = 0.15;

    /** Error ratio above which an endpoint is ejected: more of its requests fail than succeed. */
    private static final double MAX_ERROR_RATIO = 0.5;

    private final DerivedSettings settings;
    private final EndpointList endpoints;
    private final ServiceTimes times;

    OutlierDetection(DerivedSettings settings, EndpointList endpoints, ServiceTimes times) {
        this.settings = settings;
        this.endpoints = endpoints;
        this.times = times;
    }

    void initialize(Endpoint endpoint) {
        endpoint.outlier().endEjection(FIRST_EJECTION_MICROS);
    }

    /** Ejects the endpoint, unless it is ejected already. */
    void eject(Endpoint endpoint, long nowMicros) {
        OutlierState state = endpoint.outlier();
        if (!state.isEjected(nowMicros)) {
            long ejectionMicros = state.nextEjectionMicros();
            state.eject(
                    nowMicros + ejectionMicros, Math.min(MAX_EJECTION_MICROS, ejectionMicros * 2));
        }
    }

    /**
     * Returns whether the endpoint gets no requests. After an ejection, an endpoint gets one
     * request at a time until it has responded.
     */
    boolean isEjected(Endpoint endpoint, long nowMicros) {
        return endpoint.outlier().isEjected(nowMicros)
                || !hasRecovered(endpoint) && endpoint.inFlight().requests() > 0;
    }

    /** Returns whether the endpoint has responded since it was last ejected. */
    boolean hasRecovered(Endpoint endpoint) {
        return endpoint.outlier().nextEjectionMicros() <= FIRST_EJECTION_MICROS;
    }

    /** Returns whether so few endpoints are available that ejections are ignored. */
    boolean isPanicMode(long nowMicros) {
        List<Endpoint> ready = endpoints.ready();
        int available = 0;
        for (Endpoint endpoint : ready) {
            available += isEjected(endpoint, nowMicros) ? 0 : 1;
        }
        return available < PANIC_THRESHOLD * ready.size();
    }

    /** Returns how many endpoints currently get no requests because they are ejected. */
    int ejectedCount(long nowMicros) {
        if (isPanicMode(nowMicros)) {
            return 0;
        }
        int count = 0;
        for (Endpoint endpoint : endpoints.ready()) {
            count += endpoint.outlier().isEjected(nowMicros) ? 1 : 0;
        }
        return count;
    }

    /**
     * Ejects endpoints that have requests in flight and have not responded for a multiple of the
     * usual time.
     */
    void ejectUnresponsive(long nowMicros) {
        for (Endpoint endpoint : endpoints.ready()) {
            OutlierState state = endpoint.outlier();
            long unresponsiveMicros = nowMicros - state.lastProgressAtMicros();
            if (!state.isUnresponsive()
                    && endpoint.inFlight().requests() > 0
                    && unresponsiveMicros > maxUnresponsiveMicros(endpoint)) {
                state.markUnresponsive();
                eject(endpoint, nowMicros);
            }
        }
    }

    private double maxUnresponsiveMicros(Endpoint endpoint) {
        double expectedMicros =
                Math.max(times.expectedResponseMicros(endpoint), settings.targetWaitingMicros());
        return UNRESPONSIVE_MULTIPLE * expectedMicros
                + endpoint.inFlight().workMicros() * Math.max(1, times.minServiceTime(endpoint));
    }

    /**
     * Records that an attempt is sent. The time without a response counts from the first attempt in
     * flight.
     */
    void recordSend(Endpoint endpoint, long nowMicros) {
        if (endpoint.inFlight().requests() == 0) {
            endpoint.outlier().recordProgress(nowMicros);
        }
    }

    /** Records a successful response, which ends any ejection. */
    void recordResponse(Endpoint endpoint, long nowMicros) {
        OutlierState state = endpoint.outlier();
        state.recordResponse(nowMicros);
        state.endEjection(FIRST_EJECTION_MICROS);
        state.setErrorRatio(state.errorRatio() * (1 - ERROR_SMOOTHING));
    }

    /**
     * Records an error response or a broken connection, and ejects the endpoint if these are
     * frequent.
     */
    void recordError(Endpoint endpoint, long nowMicros) {
        OutlierState state = endpoint.outlier();
        state.recordProgress(nowMicros);
        state.setErrorRatio(state.errorRatio() + ERROR_SMOOTHING * (1 - state.errorRatio()));
        if (state.errorRatio() > MAX_ERROR_RATIO) {
            eject(endpoint, nowMicros);
        }
    }

    /**
     * Records a failed connection attempt, and ejects the endpoint if it has not responded since
     * the attempt was sent. If it has, it is alive and has too many connections.
     */
    void recordConnectFailure(Endpoint endpoint, long sentAtMicros, long nowMicros) {
        if (endpoint.outlier().lastResponseAtMicros() < sentAtMicros) {
            eject(endpoint, nowMicros);
        }
    }

    /** Returns the smoothed fraction of recent outcomes that were errors. */
    double errorRatio(Endpoint endpoint) {
        return endpoint.outlier().errorRatio();
    }
}
