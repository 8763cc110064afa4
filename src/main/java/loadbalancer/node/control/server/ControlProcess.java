package loadbalancer.node.control.server;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.control.store.DamagedLogException;
import loadbalancer.node.Signals;
import loadbalancer.settings.ControlFile;
import loadbalancer.transport.MillisecondIoHandler;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;

/** One control machine on real sockets and files, from its start to its stop. */
public final class ControlProcess implements AutoCloseable {
    private static final long SHUTDOWN_SECONDS = 5;

    private final EventLoopGroup group;
    private final ControlMachine machine;
    private final InetSocketAddress address;

    private ControlProcess(
            EventLoopGroup group, ControlMachine machine, InetSocketAddress address) {
        this.group = group;
        this.machine = machine;
        this.address = address;
    }

    /**
     * Starts a machine; it serves when this returns. If it fails, nothing of it keeps running.
     *
     * @throws IOException if the state can't be read or the address can't be bound
     * @throws DamagedLogException if the log is damaged
     */
    public static ControlProcess start(ControlFile file) throws IOException, DamagedLogException {
        MachineSettings settings = MachineSettings.of(file);
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.factory());
        try {
            Transport transport = new SocketTransport(group.next());
            ControlMachine machine = new ControlMachine(transport, settings);
            return new ControlProcess(group, machine, machine.start());
        } catch (IOException | DamagedLogException | RuntimeException e) {
            shutDown(group);
            throw e;
        }
    }

    /**
     * Starts a machine, prints in one line where it serves, and stops it at SIGTERM or SIGINT.
     *
     * @throws IOException if the state can't be read or the address can't be bound
     * @throws DamagedLogException if the log is damaged
     * @throws InterruptedException if the thread is interrupted while it serves
     */
    public static void serve(ControlFile file, PrintWriter err)
            throws IOException, DamagedLogException, InterruptedException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        CountDownLatch stopped = new CountDownLatch(1);
        stopAt("TERM", stopped);
        stopAt("INT", stopped);
        try (ControlProcess process = start(file)) {
            InetSocketAddress address = process.address();
            err.println(
                    "control serving at "
                            + address.getHostString()
                            + ":"
                            + address.getPort()
                            + " as "
                            + file.role().name().toLowerCase(Locale.ROOT));
            err.flush();
            stopped.await();
        }
    }

    private static void stopAt(String signal, CountDownLatch stopped) throws IOException {
        try {
            Signals.ofSystem(signal, stopped::countDown);
        } catch (ReflectiveOperationException e) {
            throw new IOException("can't take the signal " + signal, e);
        }
    }

    /** The address it listens at. */
    public InetSocketAddress address() {
        return address;
    }

    /** Stops the machine and stores what is still to be stored. */
    @Override
    public void close() {
        machine.stop();
        shutDown(group);
    }

    private static void shutDown(EventLoopGroup group) {
        group.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
    }
}
