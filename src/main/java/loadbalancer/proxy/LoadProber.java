package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loadbalancer.AttemptOutcome;
import loadbalancer.LoadReport;

/**
 * Sends load probes to endpoints and reports the results to the policy. Used on the event loop
 * only.
 */
final class LoadProber {
    /** Time-out of a probe: an endpoint that hangs accepts the probe and never responds. */
    private static final long PROBE_TIMEOUT_MILLIS = 500;

    private final EventLoop loop;
    private final UpstreamTransport upstreams;
    private final PolicyEventQueue policy;
    private final LoadReports reports;
    private final String authority;

    /**
     * Creates a prober.
     *
     * @param authority host name or address of this balancer, the authority of its probes
     */
    LoadProber(
            EventLoop loop,
            UpstreamTransport upstreams,
            PolicyEventQueue policy,
            LoadReports reports,
            String authority) {
        this.loop = loop;
        this.upstreams = upstreams;
        this.policy = policy;
        this.reports = reports;
        this.authority = authority;
    }

    /** Starts a probe. The policy receives its result or a time-out. */
    void probe(String endpointId) {
        ScheduledFuture<?>[] timeout = new ScheduledFuture<?>[1];
        UpstreamTransport.Attempt probe =
                upstreams.start(
                        endpointId,
                        RequestHead.load(authority),
                        RequestBody.empty(),
                        (outcome, response) -> {
                            timeout[0].cancel(false);
                            completed(endpointId, outcome, report(outcome, response));
                        });
        timeout[0] =
                loop.schedule(
                        () -> {
                            probe.abandon();
                            completed(endpointId, AttemptOutcome.TIMEOUT, null);
                        },
                        PROBE_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private LoadReport report(AttemptOutcome outcome, UpstreamTransport.Response response) {
        return outcome == AttemptOutcome.SUCCESS
                ? reports.read(response.body().toString(StandardCharsets.US_ASCII))
                : null;
    }

    private void completed(String endpointId, AttemptOutcome outcome, LoadReport report) {
        policy.post((policy, now) -> policy.probeCompleted(now, endpointId, outcome, report));
    }
}
