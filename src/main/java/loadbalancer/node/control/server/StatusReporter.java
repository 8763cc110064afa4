package loadbalancer.node.control.server;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import loadbalancer.control.publish.DistributionStatus;
import loadbalancer.http1.control.ControlClient;
import loadbalancer.http1.control.ControlServerReport;
import loadbalancer.http1.control.PublisherRunner;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * Reports the status of a follower's subscribers to the writer: soon after a change and at regular
 * intervals, so that the age of a report shows whether the follower is alive. Used on the event
 * loop only.
 */
final class StatusReporter {
    private static final long CHECK_INTERVAL_MILLIS = 1_000;
    private static final long MAX_REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Transport transport;
    private final String follower;
    private final ControlClient client;
    private final IntSupplier connectedServer;
    private ScheduledFuture<?> timer;
    private DistributionStatus lastReported;
    private long lastReportedNanos;

    /**
     * Creates a reporter. {@code connectedServer} returns the index of the server to report to, or
     * a negative number if there is none.
     */
    StatusReporter(
            Transport transport,
            String follower,
            ControlClient client,
            IntSupplier connectedServer) {
        this.transport = transport;
        this.follower = follower;
        this.client = client;
        this.connectedServer = connectedServer;
    }

    void start(PublisherRunner publisher) {
        timer =
                RepeatingTask.every(
                        transport.loop(),
                        CHECK_INTERVAL_MILLIS,
                        "reporting the status to the writer",
                        () -> report(publisher.status()));
    }

    void stop() {
        timer.cancel(false);
    }

    private void report(DistributionStatus status) {
        int server = connectedServer.getAsInt();
        long nowNanos = transport.nanoTime();
        boolean isDue =
                !status.equals(lastReported)
                        || nowNanos - lastReportedNanos >= MAX_REPORT_INTERVAL_NANOS;
        if (server >= 0 && isDue) {
            lastReported = status;
            lastReportedNanos = nowNanos;
            client.report(server, new ControlServerReport(follower, 0, status));
        }
    }
}
