package loadbalancer.faults.process.run;

import java.util.function.Consumer;
import loadbalancer.faults.process.check.Disturbance;
import loadbalancer.faults.process.check.Disturbance.Kind;
import loadbalancer.faults.process.peer.EvidenceLog;
import loadbalancer.faults.process.peer.RealTime;
import loadbalancer.faults.process.plan.Step;
import loadbalancer.faults.process.program.BalancerInstance;
import loadbalancer.faults.process.shim.Errno;
import loadbalancer.faults.process.shim.FaultyCall;
import loadbalancer.faults.process.shim.SyscallFaultPage;

/** Runs the steps that are faults below the program: its wall clock and its system calls. */
final class SystemFaultRunner {
    private static final long MAX_CLOCK_OFFSET_MILLIS = 3_600_000;

    /** The longest hold-up that the deployment pages allow for. */
    private static final long MAX_HOLD_UP_MICROS = 150_000;

    private final EvidenceLog log;

    SystemFaultRunner(EvidenceLog log) {
        this.log = log;
    }

    /** Has the fault happen at a balancer, and returns when it is over. */
    void run(Step s, BalancerInstance instance) {
        switch (s.kind()) {
            case WALL_CLOCK ->
                    withFaults(
                            instance,
                            s,
                            page -> page.wallClockOff(clockOff(s)),
                            page -> page.wallClockOff(0));
            case ACCEPT_FAILS ->
                    fail(
                            instance,
                            s,
                            FaultyCall.ACCEPT,
                            draw(
                                    s,
                                    Errno.ENFILE,
                                    Errno.EMFILE,
                                    Errno.ENOBUFS,
                                    Errno.ENOMEM,
                                    Errno.EINTR,
                                    Errno.ECONNABORTED));
            case SOCKET_FAILS ->
                    fail(
                            instance,
                            s,
                            FaultyCall.SOCKET,
                            draw(s, Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS, Errno.ENOMEM));
            case CONNECT_FAILS ->
                    fail(
                            instance,
                            s,
                            FaultyCall.CONNECT,
                            draw(
                                    s,
                                    Errno.EADDRNOTAVAIL,
                                    Errno.ENETUNREACH,
                                    Errno.ENOBUFS,
                                    Errno.EHOSTUNREACH));
            default -> connectionOrFileFault(s, instance);
        }
    }

    private void connectionOrFileFault(Step s, BalancerInstance instance) {
        switch (s.kind()) {
            case OWN_CONNECTIONS_BREAK ->
                    fail(
                            instance,
                            s,
                            s.other() % 2 == 0 ? FaultyCall.READ : FaultyCall.WRITE,
                            draw(s, Errno.ETIMEDOUT, Errno.EHOSTUNREACH, Errno.EPIPE));
            case SHORT_IO -> shortIo(instance, s);
            case HELD_UP -> {
                long from = RealTime.micros();
                withFaults(
                        instance,
                        s,
                        page -> page.holdUpWrites(MAX_HOLD_UP_MICROS, s.size() / 20),
                        page -> page.holdUpWrites(0, 0));
                note(s.who(), from);
            }
            case FILES_FAIL ->
                    fail(
                            instance,
                            s,
                            draw(s, FaultyCall.FILE_WRITE, FaultyCall.FSYNC, FaultyCall.RENAME),
                            draw(s, Errno.ENOSPC, Errno.EIO));
            default -> throw new IllegalArgumentException(s.kind().name());
        }
    }

    /** Returns how far the clock of a step is off, in milliseconds. */
    static long clockOff(Step s) {
        return Math.round((2 * s.size() - 1) * MAX_CLOCK_OFFSET_MILLIS);
    }

    /** One of these, by the size that was drawn. */
    @SafeVarargs
    private static <T> T draw(Step s, T... all) {
        return all[(int) (s.size() * 1_000) % all.length];
    }

    private void note(int balancer, long from) {
        log.note(new Disturbance(Kind.HELD_UP, balancer, null, from, RealTime.micros()));
    }

    /** Has calls fail, seldom or always. Those who wait for a connection wait longer meanwhile. */
    private void fail(BalancerInstance instance, Step s, FaultyCall call, Errno errno) {
        long from = RealTime.micros();
        double chance =
                s.size() > 0.5
                                && call != FaultyCall.READ
                                && call != FaultyCall.WRITE
                                && errno != Errno.EINTR
                                && errno != Errno.ECONNABORTED
                        ? 1
                        : s.size() / 4;
        withFaults(
                instance,
                s,
                page -> page.fail(call, errno, chance, SyscallFaultPage.WITHOUT_LIMIT),
                page -> page.heal(call));
        note(s.who(), from);
    }

    private void shortIo(BalancerInstance instance, Step s) {
        withFaults(
                instance,
                s,
                page -> {
                    page.fail(
                            FaultyCall.SHORT_READ,
                            Errno.NONE,
                            s.size(),
                            SyscallFaultPage.WITHOUT_LIMIT);
                    page.fail(
                            FaultyCall.SHORT_WRITE,
                            Errno.NONE,
                            s.size(),
                            SyscallFaultPage.WITHOUT_LIMIT);
                    page.fail(
                            FaultyCall.EPOLL_WAIT,
                            Errno.EINTR,
                            s.size() / 2,
                            SyscallFaultPage.WITHOUT_LIMIT);
                },
                page -> {
                    page.heal(FaultyCall.SHORT_READ);
                    page.heal(FaultyCall.SHORT_WRITE);
                    page.heal(FaultyCall.EPOLL_WAIT);
                });
    }

    /** Does nothing where the system has no compiler for the library; the rig says so once. */
    private static void withFaults(
            BalancerInstance instance,
            Step s,
            Consumer<SyscallFaultPage> begin,
            Consumer<SyscallFaultPage> end) {
        instance.faults().ifPresent(begin);
        BalancerInstance.pause(s.forMs());
        instance.faults().ifPresent(end);
    }
}
