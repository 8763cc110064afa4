package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Script;
import loadbalancer.faults.process.peer.Sockets.Server;
import loadbalancer.proxy.ProcessMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** If only one of two sibling processes receives an update from discovery, both apply it. */
class SiblingListTest extends LoopbackNodeFixture {
    private static final int REQUESTS = 40;
    private static final long SHARED_WITHIN_MILLIS = 2_000;

    /** A discovery service whose watches get what the test writes. */
    private static final class ScriptedDiscovery implements Script {
        private final List<Socket> watches = new CopyOnWriteArrayList<>();

        /** First line of the next watches; a watch beyond them is never answered. */
        private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();

        ScriptedDiscovery(String... answers) {
            this.answers.addAll(List.of(answers));
        }

        @Override
        public void on(Message request, Socket socket) throws Exception {
            String answer = answers.poll();
            if (answer != null) {
                Sockets.beginChunks(socket);
                Sockets.chunk(socket, answer);
                watches.add(socket);
            }
        }

        void send(String line) throws IOException {
            for (Socket watch : watches) {
                Sockets.chunk(watch, line);
            }
        }

        /** Ends all watches; later ones are answered only by the answers that are left. */
        void goDown() throws IOException {
            for (Socket watch : watches) {
                watch.close();
            }
        }
    }

    private final ProcessMetrics successorMetrics = new ProcessMetrics();
    private Server ready;
    private Server draining;

    @AfterEach
    void checkViolationsOfSuccessors() {
        assertEquals("none", successorMetrics.violations().summary());
    }

    private String bothReady(int version) {
        return list(version, true, entryOf(ready, "Ready"), entryOf(draining, "Ready"));
    }

    private String oneDrains(int version) {
        return list(version, true, entryOf(ready, "Ready"), entryOf(draining, "Terminating"));
    }

    private static String entryOf(Server server, String state) {
        return entry("s-" + server.addr(), server.addr(), state);
    }

    /** Starts the first process with two ready endpoints, and waits for its watch. */
    private ScriptedDiscovery startFirst() throws Exception {
        listen = text(freeAddress());
        ready = server(SERVE);
        draining = server(SERVE);
        ScriptedDiscovery discovery = new ScriptedDiscovery(bothReady(41));
        start(bothReady(41), server(discovery));
        await(() -> !discovery.watches.isEmpty(), "the process does not watch");
        return discovery;
    }

    private void tellDrain(ScriptedDiscovery discovery) throws Exception {
        discovery.send(list(42, false, entryOf(draining, "Terminating")));
        awaitSkipped(figures);
    }

    private static void awaitSkipped(ProcessMetrics metrics) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SHARED_WITHIN_MILLIS);
        while (!metrics.render().contains("app.skipped_upstreams:1|g")) {
            assertTrue(System.nanoTime() < end, "the process avoids no endpoint");
            Thread.sleep(10);
        }
    }

    private Path config() {
        return folder.resolve("config.json");
    }

    /** Writes a configuration that names another discovery address, which never answers. */
    private void moveDiscovery() throws IOException {
        String text = Files.readString(config());
        String moved = "\"discovery\":\"" + server(HANG).addr() + "\"";
        Files.writeString(config(), text.replaceFirst("\"discovery\":\"[0-9.:]+\"", moved));
    }

    private static void await(BooleanSupplier condition, String failure) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Sockets.PATIENCE_S);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, failure);
            Thread.sleep(10);
        }
    }

    private Node startSuccessor() throws Exception {
        Node successor =
                Node.start(config(), group.next(), successorMetrics, folder, StateStorage.NONE);
        Future<Void> listening = successor.startListening();
        assertTrue(listening.await(Sockets.PATIENCE_S, TimeUnit.SECONDS), "it never listens");
        assertTrue(listening.isSuccess());
        return successor;
    }

    private void stop(Node process) throws Exception {
        assertTrue(process.stop().await(Sockets.PATIENCE_S, TimeUnit.SECONDS));
        process.close();
    }

    private int requestsAtDrainingEndpoint(Node balancer) throws Exception {
        int before = draining.requests.size();
        try (Client client = new Client(balancer.server().address())) {
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals(200, client.write(submit()).read().status());
            }
        }
        return draining.requests.size() - before;
    }

    /** Guards against a successor that takes the list of its configuration for the newest one. */
    @Test
    void successorThatDiscoveryDoesNotAnswerKeepsToADrainThatItsPredecessorWasTold()
            throws Exception {
        ScriptedDiscovery discovery = startFirst();
        tellDrain(discovery);
        discovery.goDown();
        Node successor = startSuccessor();
        stop(running);
        assertEquals(0, requestsAtDrainingEndpoint(successor));
        successor.close();
    }

    /** An update that arrives after the hand-over has begun reaches the successor, too. */
    @Test
    void successorThatIsReadyKeepsToADrainThatItsPredecessorIsTold() throws Exception {
        ScriptedDiscovery discovery = startFirst();
        Node successor = startSuccessor();
        assertTrue(requestsAtDrainingEndpoint(successor) > 0);
        tellDrain(discovery);
        awaitSkipped(successorMetrics);
        stop(running);
        assertEquals(0, requestsAtDrainingEndpoint(successor));
        successor.close();
    }

    /** Guards against a process that goes by an old list as long as clients stay connected. */
    @Test
    void predecessorKeepsToADrainThatOnlyItsSuccessorWasTold() throws Exception {
        ScriptedDiscovery discovery = startFirst();
        discovery.answers.add(oneDrains(42));
        Node successor = startSuccessor();
        awaitSkipped(figures);
        assertEquals(0, requestsAtDrainingEndpoint(running));
        stop(running);
        successor.close();
    }

    @Test
    void secondHandOverInOneOutagePassesTheListOn() throws Exception {
        ScriptedDiscovery discovery = startFirst();
        tellDrain(discovery);
        discovery.goDown();
        Node second = startSuccessor();
        stop(running);
        Node third = startSuccessor();
        stop(second);
        assertEquals(0, requestsAtDrainingEndpoint(third));
        third.close();
    }

    @Test
    void olderListFromDiscoveryDoesNotReplaceTheAdoptedOne() throws Exception {
        ScriptedDiscovery discovery = startFirst();
        tellDrain(discovery);
        discovery.goDown();
        Node successor = startSuccessor();
        stop(running);
        discovery.answers.add(bothReady(41));
        await(discovery.answers::isEmpty, "the successor does not call discovery");
        assertEquals(0, requestsAtDrainingEndpoint(successor));
        successor.close();
    }

    @Test
    void newerListOfTheConfigurationIsNotReplacedByTheSiblingsList() throws Exception {
        ScriptedDiscovery discovery = startFirst();
        tellDrain(discovery);
        discovery.goDown();
        String text = Files.readString(config());
        assertTrue(text.contains(bothReady(41)));
        Files.writeString(config(), text.replace(bothReady(41), bothReady(43)));
        Node successor = startSuccessor();
        stop(running);
        assertTrue(requestsAtDrainingEndpoint(successor) > 0);
        successor.close();
    }

    @Test
    void emptyListOfTheConfigurationIsReplacedByTheSiblingsList() throws Exception {
        ScriptedDiscovery discovery = startFirst();
        tellDrain(discovery);
        discovery.goDown();
        Files.writeString(
                config(), Files.readString(config()).replace(bothReady(41), list(0, true)));
        Node successor = startSuccessor();
        stop(running);
        assertEquals(0, requestsAtDrainingEndpoint(successor));
        successor.close();
    }

    /** Versions of two discovery services can't be compared. */
    @Test
    void listFromAnotherDiscoveryAddressIsNotTaken() throws Exception {
        ScriptedDiscovery discovery = startFirst();
        tellDrain(discovery);
        moveDiscovery();
        Node successor = startSuccessor();
        stop(running);
        assertTrue(requestsAtDrainingEndpoint(successor) > 0);
        successor.close();
    }

    /** After a reload moved discovery, the list in force has no version at the new address. */
    @Test
    void listFromBeforeDiscoveryMovedIsPassedOn() throws Exception {
        ScriptedDiscovery discovery = startFirst();
        tellDrain(discovery);
        moveDiscovery();
        group.next().submit(() -> running.reload()).sync();
        Node successor = startSuccessor();
        stop(running);
        assertEquals(0, requestsAtDrainingEndpoint(successor));
        successor.close();
    }

    /** Only a process that runs beside this one is believed, not files that one has left. */
    @Test
    void listOfAProcessThatHasEndedIsNotTakenByTheNextStart() throws Exception {
        ScriptedDiscovery discovery = startFirst();
        tellDrain(discovery);
        discovery.goDown();
        Node second = startSuccessor();
        stop(running);
        stop(second);
        assertFalse(sharedFiles().isEmpty(), "the processes have shared their lists");
        Node alone = startSuccessor();
        assertTrue(requestsAtDrainingEndpoint(alone) > 0);
        alone.close();
    }

    private List<Path> sharedFiles() throws IOException {
        try (var files = Files.list(folder)) {
            return files.filter(file -> file.getFileName().toString().contains(".list.")).toList();
        }
    }
}
