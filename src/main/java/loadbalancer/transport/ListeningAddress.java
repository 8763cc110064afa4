package loadbalancer.transport;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import java.util.function.Consumer;

/**
 * A listening channel that can be closed without a reset of the clients in its accept queue. For
 * its event loop only; whoever opened it closes it.
 */
public interface ListeningAddress extends ServerChannel {
    /**
     * Accepts every client that waits in the accept queue and closes right after the last one.
     *
     * @param accepted receives each connection on the event loop and owns it from then on
     */
    void closeAfterBacklog(Consumer<Channel> accepted);
}
