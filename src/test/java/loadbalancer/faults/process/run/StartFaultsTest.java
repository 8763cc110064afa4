package loadbalancer.faults.process.run;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.List;
import loadbalancer.faults.process.program.BalancerInstance;
import loadbalancer.faults.process.shim.Errno;
import loadbalancer.faults.process.shim.FaultyCall;
import loadbalancer.faults.process.shim.SyscallFaultPage;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** A start gets over system calls that fail for a moment. */
class StartFaultsTest {
    private static final long DOWN_MS = 500;
    private static final long FAILS_MS = 7_000;

    @BeforeAll
    static void quiet() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    @Test
    void startGetsOverSocketsThatFail() {
        SystemFaults.together(
                () -> startWhileSocketsFail(Errno.ENFILE),
                () -> startWhileSocketsFail(Errno.EMFILE),
                () -> startWhileSocketsFail(Errno.ENOBUFS),
                () -> startWhileSocketsFail(Errno.ENOMEM));
    }

    private static void startWhileSocketsFail(Errno errno) {
        Verdict verdict =
                SystemFaults.playAlone(
                        "start-" + errno,
                        2,
                        20,
                        scene -> {
                            BalancerInstance balancer = scene.instances().get(0);
                            SyscallFaultPage faults = SystemFaults.of(balancer);
                            BalancerInstance.pause(DOWN_MS);
                            faults.fail(
                                    FaultyCall.SOCKET, errno, 1, SyscallFaultPage.WITHOUT_LIMIT);
                            Thread heals =
                                    new Thread(
                                            () -> {
                                                BalancerInstance.pause(FAILS_MS);
                                                faults.heal(FaultyCall.SOCKET);
                                            });
                            heals.start();
                            balancer.restart();
                        });
        assertEquals(List.of(), verdict.faults(), () -> "kept in " + verdict.kept());
    }
}
