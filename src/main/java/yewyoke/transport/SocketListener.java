package yewyoke.transport;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A listening socket. */
final class SocketListener extends NioServerSocketChannel implements Listening {
    private static final System.Logger LOG = System.getLogger(SocketListener.class.getName());

    /**
     * Accepts all that waits and closes right behind the last one. The socket leaves its selector first: as
     * long as it is in there, closing only takes effect later, and whoever connects meanwhile is reset.
     */
    @Override
    public void closeBehindTheLast(Consumer<Channel> accepted) {
        EventLoop loop = eventLoop();
        deregister().addListener(f -> closeOnceFree(loop, accepted));
    }

    private void closeOnceFree(EventLoop loop, Consumer<Channel> accepted) {
        if (javaChannel().isRegistered()) {
            // By timer: the loop runs tasks that follow one another for up to a second before it selects.
            loop.schedule(() -> closeOnceFree(loop, accepted), 1, TimeUnit.MILLISECONDS);
            return;
        }
        List<Object> last = new ArrayList<>();
        try {
            while (doReadMessages(last) > 0) {
                continue;
            }
            javaChannel().close();
        } catch (Exception e) {
            LOG.log(System.Logger.Level.WARNING, "stopped accepting after a failure: " + e);
        }
        last.forEach(channel -> accepted.accept((Channel) channel));
        close(); // tells those who wait for the end of this that there is no more to come
    }
}
