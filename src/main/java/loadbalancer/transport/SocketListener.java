package loadbalancer.transport;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.logging.FailureLogFilter;

/** A listening socket. Used on its event loop; closing it releases the descriptor. */
final class SocketListener extends NioServerSocketChannel implements ListeningChannel {
    private static final System.Logger LOG = System.getLogger(SocketListener.class.getName());

    private static final long RETRY_DELAY_MILLIS = 5;
    private static final long DEREGISTRATION_POLL_MILLIS = 1;

    private final FailureLogFilter failureLog = new FailureLogFilter();

    /**
     * {@inheritDoc}
     *
     * <p>The socket is deregistered from its selector first: while it is registered, a close takes
     * effect only later, and clients that connect until then are reset. If accepting fails, the
     * clients stay in the accept queue, and it is retried until this channel is closed.
     */
    @Override
    public void closeAfterBacklog(Consumer<Channel> accepted) {
        EventLoop loop = eventLoop();
        deregister().addListener(deregistered -> acceptBacklog(loop, accepted));
    }

    private void acceptBacklog(EventLoop loop, Consumer<Channel> accepted) {
        if (!isOpen()) {
            return;
        }
        if (javaChannel().isRegistered()) {
            // By a timer, because the loop may run consecutive tasks for up to a second before it
            // selects, which completes the deregistration.
            loop.schedule(
                    () -> acceptBacklog(loop, accepted),
                    DEREGISTRATION_POLL_MILLIS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        if (acceptAllAndClose(accepted)) {
            close(); // completes the close future, as the socket itself is closed
        } else {
            loop.schedule(
                    () -> acceptBacklog(loop, accepted), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Accepts all clients and closes the socket. Returns whether it is closed; after a failure it
     * remains open with its accept queue.
     */
    private boolean acceptAllAndClose(Consumer<Channel> accepted) {
        List<Object> backlog = new ArrayList<>();
        boolean isClosed = false;
        try {
            while (doReadMessages(backlog) > 0) {
                continue;
            }
            javaChannel().close();
            isClosed = true;
        } catch (Exception e) {
            logFailure(e);
        }
        backlog.forEach(channel -> accepted.accept((Channel) channel));
        return isClosed;
    }

    private void logFailure(Exception failure) {
        if (failureLog.shouldLogFailure()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "can't accept the remaining clients, retrying: " + failure);
        }
    }
}
