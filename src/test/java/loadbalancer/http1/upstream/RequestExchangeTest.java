package loadbalancer.http1.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointState;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.RequestBody;
import loadbalancer.proxy.RequestHead;
import loadbalancer.proxy.UpstreamTransport;
import loadbalancer.transport.SocketTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A connection ends between two lines of ours: in the very call that writes, or that tells of room.
 */
class ExchangeTest {
    private final EmbeddedChannel stage = new EmbeddedChannel();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Http1UpstreamTransport upstreams =
            new Http1UpstreamTransport(
                    new SocketTransport(stage.eventLoop()), 1_000_000, 100_000_000, 10);
    private final List<String> heard = new ArrayList<>();
    private long timeLeftMillis = UpstreamTransport.Listener.NOT_ANNOUNCED;
    private final UpstreamTransport.Listener listener =
            new UpstreamTransport.Listener() {
                @Override
                public void ended(AttemptOutcome outcome, UpstreamTransport.Response answer) {
                    heard.add(outcome.toString());
                }

                @Override
                public void requestWritten() {
                    heard.add("written");
                }

                @Override
                public long timeLeftMillis() {
                    return timeLeftMillis;
                }
            };

    private UpstreamTransport.Attempt start(RequestBody body) {
        upstreams.updateEndpoints(
                new EndpointListUpdate(
                        1,
                        true,
                        List.of(
                                new EndpointListUpdate.Entry(
                                        "u",
                                        new InetSocketAddress("127.0.0.1", 1),
                                        "",
                                        "",
                                        0,
                                        EndpointState.READY,
                                        1,
                                        0))));
        upstreams.adopt("u", channel);
        return upstreams.start(
                "u", new RequestHead("POST", "/x", "app.svc", true, List.of()), body, listener);
    }

    private String sent() {
        StringBuilder all = new StringBuilder();
        for (Object o = channel.readOutbound(); o != null; o = channel.readOutbound()) {
            all.append(((ByteBuf) o).toString(StandardCharsets.US_ASCII));
        }
        return all.toString();
    }

    private static RequestBody body(int length, Runnable room) {
        RequestBody body = new RequestBody(length, System::nanoTime, room);
        body.add(Unpooled.wrappedBuffer(new byte[length]));
        return body;
    }

    /** Its last byte is out, so it may have run, though nobody has been told of the write yet. */
    @ParameterizedTest
    @ValueSource(ints = {3, 2 * RequestBody.MAX_BUFFERED_BYTES})
    void connectionLostInTheCallThatWritesTheLastByteMayHaveRun(int length) {
        RequestBody body = body(length, () -> {});
        body.end();
        channel.pipeline()
                .addFirst(
                        new ChannelOutboundHandlerAdapter() {
                            private int left = length;

                            @Override
                            public void write(
                                    ChannelHandlerContext ctx,
                                    Object bytes,
                                    ChannelPromise promise) {
                                left -= ((ByteBuf) bytes).readableBytes();
                                ctx.write(bytes, promise);
                            }

                            @Override
                            public void flush(ChannelHandlerContext ctx) {
                                ctx.flush();
                                if (left <= 0) {
                                    ctx.close();
                                }
                            }
                        });
        start(body);
        stage.runPendingTasks();
        assertEquals("CONNECTION_RESET", heard.get(heard.size() - 1));
    }

    /**
     * Told of room for more, the client's side gives the attempt up: nothing goes out behind that.
     */
    @Test
    void attemptGivenUpAsItTellsOfRoomWritesNothingMore() {
        UpstreamTransport.Attempt[] attempt = new UpstreamTransport.Attempt[1];
        RequestBody body =
                body(
                        2 * RequestBody.MAX_BUFFERED_BYTES,
                        () -> {
                            if (attempt[0] != null) {
                                attempt[0].abandon();
                            }
                        });
        attempt[0] = start(body);
        sent();
        body.add(Unpooled.wrappedBuffer(new byte[10]));
        assertFalse(sent().isEmpty());
        body.writabilityChanged(); // gives up
        body.add(Unpooled.wrappedBuffer(new byte[10]));
        body.end();
        stage.runPendingTasks();
        assertEquals("", sent());
        assertFalse(channel.isOpen());
        assertEquals(List.of(), heard);
    }

    @Test
    void headTellsTheTimeThatIsLeftAsItGoesOut() {
        timeLeftMillis = 417;
        RequestBody body = body(3, () -> {});
        body.end();
        start(body);
        assertTrue(sent().contains("X-Time-Left-Ms: 417\r\n"));
    }

    @Test
    void headTellsNoTimeWhereNoneIsToBeTold() {
        RequestBody body = body(3, () -> {});
        body.end();
        start(body);
        assertFalse(sent().contains("X-Time-Left-Ms"));
    }
}
