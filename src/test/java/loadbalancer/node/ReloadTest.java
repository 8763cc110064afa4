package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Script;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.settings.InvalidInputException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reloads the configuration of a balancer that serves requests. */
class ReloadTest extends LoopbackNodeFixture {
    private Server discoverySending(String line) throws Exception {
        return server(
                (m, s) -> {
                    Sockets.beginChunks(s);
                    Sockets.chunk(s, line);
                });
    }

    private void reload(String from, String to) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, Files.readString(file).replace(from, to));
        group.next().submit(() -> running.reload()).sync();
    }

    /**
     * A watch at a new discovery address must start at version 0. From the version of the previous
     * discovery service on, the new one would leave out earlier changes.
     */
    @Test
    void watchesNewDiscoveryAddressAtOnceFromVersionZero() throws Exception {
        Server before = server(SERVE);
        Server after = server(SERVE);
        Server oldDiscovery = discoverySending(list(900, false));
        Server newDiscovery =
                discoverySending(list(3, true, entry("s-after", after.addr(), "Ready")));
        start(ready(before), oldDiscovery);
        assertEquals(200, client().write(submit()).read().status());
        reload(oldDiscovery.addr(), newDiscovery.addr());
        assertTrue(Sockets.next(newDiscovery.requests).start().contains("since=0"));
        assertEquals(0, Sockets.next(oldDiscovery.ended));
        awaitServedBy(after);
        reload("no such text", "");
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(1, oldDiscovery.requests.size());
        assertTrue(
                newDiscovery.requests.isEmpty(), "the watch continues, as its address is the same");
    }

    @Test
    void keepsServingAndWatchingAfterAnInvalidFile() throws Exception {
        Server upstream = server(SERVE);
        Server discovery = discoverySending(list(42, false));
        start(ready(upstream), discovery);
        reload("{", "[");
        assertEquals(200, client().write(submit()).read().status());
        Sockets.next(discovery.requests);
        assertTrue(discovery.ended.isEmpty());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "truncated",
                "\"listen\" -> \"x\"",
                "\"known\" -> \"x\"",
                "\"seed\" -> \"x\"",
                "\"ceilings\" -> \"x\"",
                "\"try-limit\":4 -> \"x\":4",
                "\"try-limit\":4 -> \"try-limit\":0",
                "\"give-up-s\":20 -> \"give-up-s\":0",
                "\"give-up-s\":20 -> \"give-up-s\":-1",
                "\"give-up-s\":20 -> \"x\":20",
                "\"aim-s\":1 -> \"aim-s\":0",
                "\"repeat\":\"free\" -> \"repeat\":\"x\"",
                "\"repeat\" -> \"x\"",
                "\"name\":\"look\" -> \"name\":\"\"",
                "\"name\":\"look\" -> \"name\":\"submit\"",
                "\"seed\":\"8 -> \"seed\":\"z",
                "\"n\" -> \"n\"}}",
                "\"listen\":\"127.0.0.1:0\" -> \"listen\":null"
            })
    void invalidFileChangesNothing(String change) throws Exception {
        Server discovery = discoverySending(list(42, false));
        Server elsewhere = server(HANG);
        start(ready(server(SERVE)), discovery);
        Path file = folder.resolve("config.json");
        String valid = Files.readString(file).replace(discovery.addr(), elsewhere.addr());
        String invalid = change;
        if (change.equals("truncated")) {
            invalid = valid.substring(0, valid.length() - 1);
        } else if (change.contains(" -> ")) {
            String[] parts = change.split(" -> ");
            assertTrue(valid.contains(parts[0]), change);
            invalid = change.endsWith("}}") ? valid + "}" : valid.replace(parts[0], parts[1]);
        }
        Files.writeString(file, invalid);
        assertThrows(
                InvalidInputException.class,
                () -> ConfigCheck.describe(file),
                "the check of a file decides like a reload");
        group.next().submit(() -> running.reload()).sync();
        assertTrue(figures.render().contains("app.load_errors:1|c"), figures.render());
        assertTrue(figures.render().contains("app.loads:0|c"), figures.render());
        assertEquals(200, client().write(submit()).read().status());
        Sockets.next(discovery.requests);
        assertTrue(elsewhere.accepted.isEmpty(), "the discovery address has not changed");
        Files.writeString(file, valid);
        group.next().submit(() -> running.reload()).sync();
        Sockets.next(elsewhere.requests);
        assertTrue(figures.render().contains("app.loads:1|c"), figures.render());
    }

    /**
     * Guards against a valid file that is not taken: an optional key that all objects of the
     * configuration in force have was taken for a required one, so that a balancer stayed with a
     * discovery service that was gone.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "aim-stretch of each class",
                "aim-stretch of one class",
                "allowance of the only tenant",
                "all tenants",
                "service properties",
                "admin address",
                "memory limit"
            })
    void takesAFileWhoseOptionalKeysComeOrGo(String change) throws Exception {
        Server discovery = discoverySending(list(42, false));
        Server elsewhere = server(HANG);
        start(ready(server(SERVE)), discovery);
        Path file = folder.resolve("config.json");
        String without = Files.readString(file);
        String with =
                switch (change) {
                    case "aim-stretch of each class" ->
                            without.replace("\"aim-s\":1", "\"aim-s\":1,\"aim-stretch\":2");
                    case "aim-stretch of one class" ->
                            without.replaceFirst("\"aim-s\":1", "\"aim-s\":1,\"aim-stretch\":2");
                    case "allowance of the only tenant" ->
                            without.replace("\"share\":1", "\"share\":1,\"allowance-per-s\":9");
                    case "all tenants" ->
                            without.replaceAll("\"parties\":\\[[^]]*]", "\"parties\":[]");
                    case "service properties" ->
                            without.replace(
                                    "\"tick-s\"", "\"extra\":{\"warm-keys\":true},\"tick-s\"");
                    case "admin address" ->
                            without.replace("\"seed\"", "\"ops\":\"127.0.0.1:1\",\"seed\"");
                    default -> without.replaceAll("\"memory_mb\":[0-9]+,", "");
                };
        assertNotEquals(without, with);
        int loads = 0;
        for (String next : List.of(with, without, with)) {
            Files.writeString(file, next);
            ConfigCheck.describe(file);
            group.next().submit(() -> running.reload()).sync();
            loads++;
            assertTrue(figures.render().contains("app.loads:" + loads + "|c"), figures.render());
        }
        reload(discovery.addr(), elsewhere.addr());
        Sockets.next(elsewhere.requests);
    }

    @Test
    void addsAndRemovesRequestClasses() throws Exception {
        Server upstream = server(SERVE);
        start(ready(upstream), server(HANG));
        assertEquals(400, client().write(request("GET", "book", "900", "")).read().status());
        reload(serviceClass("submit", "single_shot"), serviceClass("book", "free"));
        assertEquals(200, client().write(request("GET", "book", "900", "")).read().status());
        assertEquals(200, client().write(request("GET", "look", "900", "")).read().status());
        assertEquals(400, client().write(submit()).read().status());
        assertTrue(figures.render().contains("app.handled.book.passed:1|c"), figures.render());
        assertTrue(
                figures.render().contains("app.handled.submit.passed:0|c"),
                "a removed class stays in the metrics");
    }

    /**
     * The reload replaces an unsafe request class by a safe one. A request of the unsafe class that
     * is in flight must not be sent again because of that.
     */
    @Test
    void requestInFlightKeepsItsClass() throws Exception {
        CountDownLatch reloaded = new CountDownLatch(1);
        Script resetAfterReload =
                (m, s) -> {
                    reloaded.await();
                    Sockets.reset(s);
                };
        Server one = server(resetAfterReload);
        Server two = server(resetAfterReload);
        start(one, two);
        Client client = client().write(submit());
        while (one.requests.isEmpty() && two.requests.isEmpty()) {
            Thread.onSpinWait();
        }
        reload(serviceClass("submit", "single_shot"), serviceClass("book", "free"));
        reloaded.countDown();
        assertFailed(client.read());
        assertEquals(1, one.requests.size() + two.requests.size());
        assertTrue(
                figures.render().contains("app.handled.submit.bad_gateway:1|c"), figures.render());
        assertTrue(figures.render().contains("app.handled.book.bad_gateway:0|c"), figures.render());
    }

    @Test
    void appliesLowerAttemptLimitToLaterRequests() throws Exception {
        Script reject =
                (m, s) -> Sockets.answer(s, "503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
        Server upstream = server(reject);
        start(upstream);
        reload("\"try-limit\":4", "\"try-limit\":1");
        assertEquals(503, client().write(request("POST", "submit", "500", "")).read().status());
        assertEquals(1, upstream.requests.size());
    }

    /**
     * Without a successor, clients can't connect again until the restart. Closing their connections
     * early would be an outage for them.
     */
    @Test
    void plannedStopKeepsServingOnOpenConnections() throws Exception {
        start(server(SERVE));
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        Future<Void> drained = shutDown(1, 600_000, 600_000);
        while (accepts()) {
            assertFalse(drained.isDone());
        }
        for (int i = 0; i < 3; i++) {
            Message response = client.write(submit()).read();
            assertEquals(200, response.status());
            assertNull(response.headers().get("connection"));
        }
        client.close();
        assertTrue(
                drained.await(Sockets.PATIENCE_S, TimeUnit.SECONDS),
                "no client is connected any more");
    }

    private boolean accepts() {
        try (Client client = new Client(node.address())) {
            return client.socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends the signal to a process, because an unhandled SIGHUP would end the JVM. */
    @Test
    void sighupReloadsAndDoesNotEndTheProcess() throws Exception {
        Server upstream = server(SERVE);
        Server oldDiscovery = discoverySending(list(42, false));
        Server newDiscovery =
                discoverySending(list(3, true, entry("s-after", upstream.addr(), "Ready")));
        start(ready(upstream), server(HANG)); // writes config.json
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                Files.readString(file)
                        .replaceAll(
                                "\"discovery\":\"[0-9.:]+\"",
                                "\"discovery\":\"" + oldDiscovery.addr() + "\""));
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "serve");
        builder.environment().put("NODE_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        Process process =
                builder.redirectErrorStream(true).redirectOutput(new File("/dev/null")).start();
        try {
            Sockets.next(oldDiscovery.requests);
            Files.writeString(
                    file, Files.readString(file).replace(oldDiscovery.addr(), newDiscovery.addr()));
            for (int i = 0; i < 3; i++) {
                String pid = Long.toString(process.pid());
                assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            }
            Sockets.next(newDiscovery.requests);
            assertTrue(process.isAlive());
        } finally {
            process.destroy();
        }
        assertTrue(process.waitFor(Sockets.PATIENCE_S, TimeUnit.SECONDS));
        assertFalse(process.isAlive());
    }
}
