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
 * Tells the writer what is in force at a follower's subscribers: soon after that has changed, and
 * now and then in any case, so that the age of a report tells something.
 */
final class StatusReporter {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long LONGEST_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Transport transport;
    private final String machine;
    private final ControlClient client;
    private final IntSupplier connectedServer;
    private ScheduledFuture<?> timer;
    private DistributionStatus told;
    private long toldAt;

    /** {@code connectedServer} gives the place of the server to tell, negative for none. */
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
                        INTERVAL_MILLIS,
                        "reporting upwards",
                        () -> report(publisher.status()));
    }

    void stop() {
        timer.cancel(false);
    }

    private void report(DistributionStatus status) {
        int server = connectedServer.getAsInt();
        long now = transport.nanoTime();
        boolean isNews = !status.equals(told) || now - toldAt >= LONGEST_SILENCE_NANOS;
        if (server >= 0 && isNews) {
            told = status;
            toldAt = now;
            client.report(server, new MachineReport(machine, 0, status));
        }
    }
}
