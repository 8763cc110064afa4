package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Script;
import loadbalancer.faults.process.peer.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** New configurations under load: discovery moves, and what it has to tell is heard. */
class ReloadTest extends OnSockets {
    private Server telling(String line) throws Exception {
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
     * Versions of another discovery mean nothing: asked from there, it would leave out what came
     * before.
     */
    @Test
    void watchMovesAtOnceAndStartsFromTheBeginning() throws Exception {
        Server before = server(SERVE);
        Server after = server(SERVE);
        Server old = telling(list(900, false));
        Server moved = telling(list(3, true, entry("s-after", after.addr(), "Ready")));
        start(ready(before), old);
        assertEquals(200, client().write(submit()).read().status());
        reload(old.addr(), moved.addr());
        assertTrue(Sockets.next(moved.requests).start().contains("since=0"));
        assertEquals(0, Sockets.next(old.ended));
        awaitServedBy(after);
        reload("no such text", "");
        assertEquals(200, client().write(submit()).read().status());
        assertEquals(1, old.requests.size());
        assertTrue(moved.requests.isEmpty(), "nothing new: the watch goes on");
    }

    @Test
    void brokenFileLeavesAllAsItWas() throws Exception {
        Server upstream = server(SERVE);
        Server discovery = telling(list(42, false));
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
                "1-less",
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
    void fileThatIsBrokenAnywhereChangesNothing(String change) throws Exception {
        Server discovery = telling(list(42, false));
        Server elsewhere = server(HANG);
        start(ready(server(SERVE)), discovery);
        Path file = folder.resolve("config.json");
        String good = Files.readString(file).replace(discovery.addr(), elsewhere.addr());
        String broken = change;
        if (change.equals("1-less")) {
            broken = good.substring(0, good.length() - 1);
        } else if (change.contains(" -> ")) {
            String[] parts = change.split(" -> ");
            assertTrue(good.contains(parts[0]), change);
            broken = change.endsWith("}}") ? good + "}" : good.replace(parts[0], parts[1]);
        }
        Files.writeString(file, broken);
        group.next().submit(() -> running.reload()).sync();
        assertTrue(figures.render().contains("app.load_errors:1|c"), figures.render());
        assertTrue(figures.render().contains("app.loads:0|c"), figures.render());
        assertEquals(200, client().write(submit()).read().status());
        Sockets.next(discovery.requests);
        assertTrue(elsewhere.accepted.isEmpty(), "discovery has not moved");
        Files.writeString(file, good);
        group.next().submit(() -> running.reload()).sync();
        Sockets.next(elsewhere.requests);
        assertTrue(figures.render().contains("app.loads:1|c"), figures.render());
    }

    @Test
    void classesComeAndGo() throws Exception {
        Server upstream = server(SERVE);
        start(ready(upstream), server(HANG));
        assertEquals(400, client().write(request("GET", "book", "900", "")).read().status());
        reload(serviceClass("submit", "single_shot"), serviceClass("book", "free"));
        assertEquals(200, client().write(request("GET", "book", "900", "")).read().status());
        assertEquals(200, client().write(request("GET", "look", "900", "")).read().status());
        assertEquals(400, client().write(submit()).read().status());
        assertTrue(figures.render().contains("app.handled.book.passed:1|c"), figures.render());
        assertTrue(
                figures.render().contains("app.handled.submit.passed:0|c"), "dropped, but shown");
    }

    /**
     * In the place of an unsafe class stands a safe one: the open request is not sent again for
     * that.
     */
    @Test
    void openRequestKeepsTheClassItCameUnder() throws Exception {
        CountDownLatch reloaded = new CountDownLatch(1);
        Script late =
                (m, s) -> {
                    reloaded.await();
                    Sockets.reset(s);
                };
        Server one = server(late);
        Server two = server(late);
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
    void attemptsGetFewerForRequestsToCome() throws Exception {
        Script full =
                (m, s) -> Sockets.answer(s, "503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
        Server upstream = server(full);
        start(upstream);
        reload("\"try-limit\":4", "\"try-limit\":1");
        assertEquals(503, client().write(request("POST", "submit", "500", "")).read().status());
        assertEquals(1, upstream.requests.size());
    }

    /**
     * Clients can't have other connections before the restart: to close theirs early was an outage.
     */
    @Test
    void plannedStopGoesOnServingThoseThatHaveConnections() throws Exception {
        start(server(SERVE));
        Client client = client();
        assertEquals(200, client.write(submit()).read().status());
        Future<Void> drained = drain(1, 600_000, 600_000);
        while (accepts()) {
            assertFalse(drained.isDone());
        }
        for (int i = 0; i < 3; i++) {
            Message answer = client.write(submit()).read();
            assertEquals(200, answer.status());
            assertNull(answer.headers().get("connection"));
        }
        client.close();
        assertTrue(
                drained.await(Sockets.PATIENCE_S, TimeUnit.SECONDS), "nobody is left to be served");
    }

    private boolean accepts() {
        try (Client late = new Client(node.address())) {
            return late.socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** The signal itself: unhandled, it ends the JVM. */
    @Test
    void hangUpSignalIsNoEndOfTheProcess() throws Exception {
        Server upstream = server(SERVE);
        Server old = telling(list(42, false));
        Server moved = telling(list(3, true, entry("s-after", upstream.addr(), "Ready")));
        start(ready(upstream), server(HANG)); // writes the file
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                Files.readString(file)
                        .replaceAll(
                                "\"discovery\":\"[0-9.:]+\"",
                                "\"discovery\":\"" + old.addr() + "\""));
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
            Sockets.next(old.requests);
            Files.writeString(file, Files.readString(file).replace(old.addr(), moved.addr()));
            for (int i = 0; i < 3; i++) {
                String pid = Long.toString(process.pid());
                assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            }
            Sockets.next(moved.requests);
            assertTrue(process.isAlive());
        } finally {
            process.destroy();
        }
        assertTrue(process.waitFor(Sockets.PATIENCE_S, TimeUnit.SECONDS));
        assertFalse(process.isAlive());
    }
}
