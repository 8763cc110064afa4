package loadbalancer.transport;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A listening socket. */
final class SocketListener extends NioServerSocketChannel implements ListeningAddress {
    private static final System.Logger LOG = System.getLogger(SocketListener.class.getName());

    /** So long after a failure accepting is tried again; most pass in a moment. */
    private static final long AGAIN_MS = 5;

    private boolean hasFailed;

    /**
     * Accepts all that waits and closes right behind the last one. The socket leaves its selector
     * first: as long as it is in there, closing only takes effect later, and whoever connects
     * meanwhile is reset. Where accepting fails, clients wait in the queue and it is tried again,
     * until this is closed all the same.
     */
    @Override
    public void closeBehindTheLast(Consumer<Channel> accepted) {
        EventLoop loop = eventLoop();
        deregister().addListener(f -> acceptTheLast(loop, accepted));
    }

    private void acceptTheLast(EventLoop loop, Consumer<Channel> accepted) {
        if (!isOpen()) {
            return;
        }
        if (javaChannel().isRegistered()) {
            // By timer: the loop runs tasks that follow one another for up to a second before it
            // selects.
            loop.schedule(() -> acceptTheLast(loop, accepted), 1, TimeUnit.MILLISECONDS);
            return;
        }
        List<Object> last = new ArrayList<>();
        boolean isDone = false;
        try {
            while (doReadMessages(last) > 0) {
                continue;
            }
            javaChannel().close();
            isDone = true;
        } catch (Exception e) {
            logFirst(e);
        }
        last.forEach(channel -> accepted.accept((Channel) channel));
        if (isDone) {
            close(); // tells those who wait for the end of this that there is no more to come
        } else {
            loop.schedule(() -> acceptTheLast(loop, accepted), AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void logFirst(Exception failure) {
        if (!hasFailed) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "can't accept the last clients for now: " + failure);
        }
        hasFailed = true;
    }
}
