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

/** Runs a control server on sockets and files, from start to shutdown. */
public final class ControlProcess implements AutoCloseable {
    private static final long SHUTDOWN_SECONDS = 5;

    private final EventLoopGroup group;
    private final ControlServerRuntime server;
    private final InetSocketAddress address;

    private ControlProcess(
            EventLoopGroup group, ControlServerRuntime server, InetSocketAddress address) {
        this.group = group;
        this.server = server;
        this.address = address;
    }

    /**
     * Starts a control server, which accepts connections when this method returns. If the start
     * fails, no thread of it keeps running.
     *
     * @throws IOException if the state can't be read or the address can't be bound
     * @throws DamagedLogException if the log is damaged
     */
    public static ControlProcess start(ControlFile file) throws IOException, DamagedLogException {
        ControlServerSettings settings = ControlServerSettings.of(file);
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, MillisecondIoHandler.factory());
        try {
            Transport transport = new SocketTransport(group.next());
            ControlServerRuntime server = new ControlServerRuntime(transport, settings);
            return new ControlProcess(group, server, server.start());
        } catch (IOException | DamagedLogException | RuntimeException e) {
            shutDown(group);
            throw e;
        }
    }

    /**
     * Starts a control server, prints its address and role in one line, and stops it on SIGTERM or
     * SIGINT.
     *
     * @throws IOException if the state can't be read or the address can't be bound
     * @throws DamagedLogException if the log is damaged
     * @throws InterruptedException if the thread is interrupted while the control server runs
     */
    public static void serve(ControlFile file, PrintWriter err)
            throws IOException, DamagedLogException, InterruptedException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        CountDownLatch stopped = new CountDownLatch(1);
        stopOnSignal("TERM", stopped);
        stopOnSignal("INT", stopped);
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

    private static void stopOnSignal(String signal, CountDownLatch stopped) throws IOException {
        try {
            Signals.ofSystem(signal, stopped::countDown);
        } catch (ReflectiveOperationException e) {
            throw new IOException("can't handle signal " + signal, e);
        }
    }

    /** Returns the address that the control server listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /** Stops the control server and writes unsaved state. */
    @Override
    public void close() {
        server.stop();
        shutDown(group);
    }

    private static void shutDown(EventLoopGroup group) {
        group.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
    }
}
