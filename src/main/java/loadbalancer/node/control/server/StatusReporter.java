package loadbalancer.node.control.server;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import loadbalancer.control.publish.DistributionStatus;
import loadbalancer.http1.control.ControlClient;
import loadbalancer.http1.control.MachineReport;
import loadbalancer.http1.control.PublisherRunner;
import loadbalancer.transport.RepeatingTask;
import loadbalancer.transport.Transport;

/**
 * Reports the status of a follower's subscribers to the writer: soon after a change, and at regular
 * intervals, so that the age of a report shows whether the follower is alive. For the loop's
 * thread.
 */
final class StatusReporter {
    private static final long CHECK_INTERVAL_MILLIS = 1_000;
    private static final long MAX_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Transport transport;
    private final String machine;
    private final ControlClient client;
    private final IntSupplier connectedServer;
    private ScheduledFuture<?> timer;
    private DistributionStatus lastReported;
    private long lastReportedNanos;

    /** {@code connectedServer} gives the index of the server to report to, negative for none. */
    StatusReporter(
            Transport transport,
            String machine,
            ControlClient client,
            IntSupplier connectedServer) {
        this.transport = transport;
        this.machine = machine;
        this.client = client;
        this.connectedServer = connectedServer;
    }

    void start(PublisherRunner publisher) {
        timer =
                RepeatingTask.every(
                        transport.loop(),
                        CHECK_INTERVAL_MILLIS,
                        "reporting upwards",
                        () -> report(publisher.status()));
    }

    void stop() {
        timer.cancel(false);
    }

    private void report(DistributionStatus status) {
        int server = connectedServer.getAsInt();
        long nowNanos = transport.nanoTime();
        boolean isDue =
                !status.equals(lastReported) || nowNanos - lastReportedNanos >= MAX_INTERVAL_NANOS;
        if (server >= 0 && isDue) {
            lastReported = status;
            lastReportedNanos = nowNanos;
            client.report(server, new MachineReport(machine, 0, status));
        }
    }
}
