package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Server;
import org.junit.jupiter.api.Test;

/** Compares the metrics with what clients and upstreams observed. */
class MetricsTest extends LoopbackNodeFixture {
    private void awaitMetrics(String... lines) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        for (String line : lines) {
            while (!figures.render().contains("app." + line + "\n")) {
                assertTrue(System.nanoTime() < end, line + " not in\n" + figures.render());
                Thread.onSpinWait();
            }
        }
    }

    @Test
    void countsEachOutcomeOnceUnderItsClass() throws Exception {
        Server upstream =
                server(
                        (m, s) -> {
                            if (m.start().startsWith("GET")) {
                                SERVE.on(m, s);
                            } else {
                                Sockets.answer(s, "500 Oops", "", "");
                            }
                        });
        start(upstream);
        assertEquals(200, client().write(request("GET", "look", "9000", "")).read().status());
        assertFailed(client().write(submit()).read());
        awaitMetrics(
                "handled.look.passed:1|c",
                "handled.look.bad_gateway:0|c",
                "handled.submit.bad_gateway:1|c",
                "handled.submit.passed:0|c",
                "handled.submit.dropped:0|c",
                "handled.revise.passed:0|c",
                "upstream_tries:2|c",
                "in_progress:0|g",
                "known_upstreams:1|g",
                "skipped_upstreams:0|g");
    }

    @Test
    void countsRejectedRequestAsDroppedAndInvalidRequestNotAtAll() throws Exception {
        start(new Server[0]);
        assertEquals(503, client().write(request("POST", "submit", "300", "")).read().status());
        assertEquals(400, client().write(submit().replace("acme", "nobody")).read().status());
        awaitMetrics(
                "handled.submit.dropped:1|c",
                "upstream_tries:0|c",
                "in_progress:0|g",
                "known_upstreams:0|g");
    }

    @Test
    void requestOfDisconnectedClientIsNotInProgress() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        Client client = client().write(submit());
        awaitMetrics("in_progress:1|g", "upstream_tries:1|c");
        client.close();
        awaitMetrics(
                "in_progress:0|g", "handled.submit.bad_gateway:0|c", "handled.submit.dropped:0|c");
    }

    /** An attempt must be counted when its last byte is written, not when it connects. */
    @Test
    void doesNotCountAttemptThatWasNotWritten() throws Exception {
        Server closed = server(SERVE);
        closed.close();
        start(closed);
        assertEquals(503, client().write(request("POST", "submit", "300", "")).read().status());
        awaitMetrics("upstream_tries:0|c", "handled.submit.dropped:1|c", "known_upstreams:1|g");
    }

    @Test
    void countsDrainingUpstreamAsKnownAndSkipped() throws Exception {
        Server upstream = server(SERVE);
        String draining = entry("b", upstream.addr(), "Terminating");
        start(list(41, true, entry("a", upstream.addr(), "Ready"), draining), server(HANG));
        awaitMetrics("known_upstreams:2|g", "skipped_upstreams:1|g");
    }

    @Test
    void adminAddressComesFromTheConfigurationElseFromTheEnvironment() throws Exception {
        start(server(SERVE));
        Path file = folder.resolve("config.json");
        assertNull(ServeCommand.adminAddress(Config.read(file), null));
        assertEquals(
                7001, ServeCommand.adminAddress(Config.read(file), "127.0.0.1:7001").getPort());
        Files.writeString(
                file, Files.readString(file).replaceFirst("\\{", "{\"ops\":\"127.0.0.1:7002\","));
        assertEquals(
                7002, ServeCommand.adminAddress(Config.read(file), "127.0.0.1:7001").getPort());
    }
}
