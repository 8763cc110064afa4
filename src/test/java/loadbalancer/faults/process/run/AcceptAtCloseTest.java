package loadbalancer.faults.process.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.faults.process.peer.RealTime;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.program.BalancerInstance;
import loadbalancer.faults.process.program.Child;
import loadbalancer.faults.process.shim.Errno;
import loadbalancer.faults.process.shim.FaultyCall;
import loadbalancer.faults.process.shim.SyscallFaultPage;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Clients that wait to be accepted while a stop closes the listener are served, whatever accept
 * says.
 */
class AcceptAtCloseTest {
    /** For so long after SIGTERM new clients come, as the protocol has it. */
    private static final long CLIENTS_COME_MS = 400;

    private static final long BETWEEN_CLIENTS_MS = 3;
    private static final long FAILS_AFTER_MS = 300;
    private static final int ENOUGH_CLIENTS = 20;
    private static final int MAX_PLAYS = 3;

    @BeforeAll
    static void quiet() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /** Sends one request on a connection of its own; true if an answer came. */
    private static boolean isAnswered(InetSocketAddress balancer, String id) {
        try (Sockets.Client client = new Sockets.Client(balancer, 10_000)) {
            client.write(
                    "GET /lookup?key=k HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: "
                            + id
                            + "\r\n"
                            + "X-Service-Class: lookup\r\n"
                            + "X-Account: acme\r\n"
                            + "X-Time-Left-Ms: 2500\r\n\r\n");
            return client.read() != null;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void clientsInTheQueueAreServed() {
        SystemFaults.together(
                () -> playUntilEnoughClientsCome(Errno.ENFILE, 1),
                () -> playUntilEnoughClientsCome(Errno.EMFILE, 1),
                () -> playUntilEnoughClientsCome(Errno.ENOBUFS, 1),
                () -> playUntilEnoughClientsCome(Errno.ENOMEM, 1),
                () -> playUntilEnoughClientsCome(Errno.EINTR, 0.5),
                () -> playUntilEnoughClientsCome(Errno.ECONNABORTED, 0.1));
    }

    /**
     * Plays until enough clients came within the time of the protocol. They are too few if the test
     * itself stood still meanwhile; without that, too few are a failure. No client may be lost in
     * any play.
     */
    private static void playUntilEnoughClientsCome(Errno errno, double chance) {
        for (int play = 1; ; play++) {
            AtomicInteger asked = new AtomicInteger();
            Verdict verdict = playWithoutLoss(errno, chance, asked);
            if (asked.get() > ENOUGH_CLIENTS) {
                return;
            }
            String reason =
                    "only " + asked + " clients, " + errno + ", isLate: " + verdict.isLate();
            assertTrue(verdict.isLate() && play < MAX_PLAYS, reason);
            System.out.println("accept at close is played again: " + reason);
        }
    }

    private static Verdict playWithoutLoss(Errno errno, double chance, AtomicInteger asked) {
        AtomicInteger lost = new AtomicInteger();
        Verdict verdict =
                SystemFaults.playAlone(
                        "accept-" + errno,
                        2,
                        5,
                        scene -> closeWhileAcceptFails(scene, errno, chance, asked, lost));
        assertEquals(0, lost.get(), () -> "of " + asked + " clients");
        return verdict;
    }

    private static void closeWhileAcceptFails(
            Scene scene, Errno errno, double chance, AtomicInteger asked, AtomicInteger lost) {
        BalancerInstance balancer = scene.instances().get(0);
        SyscallFaultPage faults = SystemFaults.of(balancer);
        Child child = balancer.current();
        ExecutorService threads = Executors.newCachedThreadPool();
        List<CompletableFuture<Void>> clients = new ArrayList<>();
        child.mayEnd();
        child.signal("TERM");
        long toldAt = RealTime.micros();
        for (int i = 0; RealTime.micros() < toldAt + CLIENTS_COME_MS * 1_000; i++) {
            if (RealTime.micros() >= toldAt + FAILS_AFTER_MS * 1_000) {
                faults.fail(FaultyCall.ACCEPT, errno, chance, SyscallFaultPage.WITHOUT_LIMIT);
            }
            String id = "extra-" + i;
            clients.add(
                    CompletableFuture.runAsync(
                            () -> {
                                asked.incrementAndGet();
                                if (!isAnswered(scene.topology.listen(0), id)) {
                                    lost.incrementAndGet();
                                }
                            },
                            threads));
            BalancerInstance.pause(BETWEEN_CLIENTS_MS);
        }
        SystemFaults.awaitSince(toldAt, FAILS_AFTER_MS + 500);
        faults.heal(FaultyCall.ACCEPT);
        clients.forEach(CompletableFuture::join);
        threads.shutdown();
        assertEquals(0, child.awaitEnd());
        balancer.start();
    }

    /**
     * All is closed 0.1 s before SIGKILL comes, which is 0.7 s after the longest deadline, 3 s
     * here; the process's own end takes some tenths of a second more, and nothing is owed by then.
     */
    @Test
    void processEndsInTimeThoughAcceptFailsToTheEnd() {
        SystemFaults.playAlone(
                "accept-forever",
                2,
                5,
                scene -> {
                    BalancerInstance balancer = scene.instances().get(0);
                    SyscallFaultPage faults = SystemFaults.of(balancer);
                    Child child = balancer.current();
                    child.mayEnd();
                    faults.fail(FaultyCall.ACCEPT, Errno.ENFILE, 1, SyscallFaultPage.WITHOUT_LIMIT);
                    long toldAt = RealTime.micros();
                    child.signal("TERM");
                    assertEquals(0, child.awaitEnd());
                    long took = (RealTime.micros() - toldAt) / 1_000;
                    faults.heal(FaultyCall.ACCEPT);
                    balancer.start();
                    assertTrue(took < 4_500, () -> "ended after " + took + " ms");
                });
    }
}
