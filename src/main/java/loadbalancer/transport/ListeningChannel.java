package loadbalancer.transport;

import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import java.util.function.Consumer;

/**
 * A listening channel that can be closed without resetting the clients in its accept queue. Used on
 * its event loop; the code that opened it must close it.
 */
public interface ListeningChannel extends ServerChannel {
    /**
     * Accepts every client in the accept queue and closes the channel right after the last one.
     *
     * @param accepted receives each connection on the event loop, and owns it from then on
     */
    void closeAfterBacklog(Consumer<Channel> accepted);
}
