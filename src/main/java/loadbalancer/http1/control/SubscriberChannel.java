package loadbalancer.http1.control;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import java.lang.System.Logger.Level;
import loadbalancer.control.publish.SubscriberSink;

/**
 * Sends the lines of a subscription to one subscriber, each as a chunk of the response body. Used
 * on the event loop only.
 */
final class SubscriberChannel implements SubscriberSink {
    private static final System.Logger LOG = System.getLogger(SubscriberChannel.class.getName());
    private static final byte[] LINE_END = {'\n'};

    private final String subscriber;
    private final Channel channel;

    SubscriberChannel(String subscriber, Channel channel) {
        this.subscriber = subscriber;
        this.channel = channel;
    }

    @Override
    public boolean isWritable() {
        return channel.isActive() && channel.isWritable();
    }

    @Override
    public void send(byte[] line) {
        write(line, LINE_END);
    }

    @Override
    public void heartbeat() {
        write(LINE_END);
    }

    @Override
    public void close(String reason) {
        LOG.log(Level.INFO, "disconnected subscriber " + subscriber + ": " + reason);
        channel.close();
    }

    private void write(byte[]... bytes) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }
}
