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
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.SocketTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests an exchange whose connection or attempt ends synchronously, within the call that writes or
 * that reports writability, and the announcement of the time left.
 */
class RequestExchangeTest {
    private final EmbeddedChannel loopChannel = new EmbeddedChannel();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Http1UpstreamTransport transport =
            new Http1UpstreamTransport(
                    new SocketTransport(loopChannel.eventLoop()), 1_000_000, 100_000_000, 10);
    private final List<String> events = new ArrayList<>();
    private long timeLeftMillis = UpstreamTransport.Listener.NOT_ANNOUNCED;
    private final UpstreamTransport.Listener listener =
            new UpstreamTransport.Listener() {
                @Override
                public void ended(AttemptOutcome outcome, UpstreamTransport.Response response) {
                    events.add(outcome.toString());
                }

                @Override
                public void requestWritten() {
                    events.add("written");
                }

                @Override
                public long timeLeftMillis() {
                    return timeLeftMillis;
                }
            };

    private UpstreamTransport.Attempt start(RequestBody body) {
        transport.updateEndpoints(
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
        transport.adopt("u", channel);
        return transport.start(
                "u", new RequestHead("POST", "/x", "app.svc", true, List.of()), body, listener);
    }

    private String readOutboundText() {
        StringBuilder all = new StringBuilder();
        for (Object o = channel.readOutbound(); o != null; o = channel.readOutbound()) {
            all.append(((ByteBuf) o).toString(StandardCharsets.US_ASCII));
        }
        return all.toString();
    }

    private static RequestBody body(int length, Runnable onRoom) {
        RequestBody body =
                new RequestBody(length, System::nanoTime, MemoryQuota.unlimited(), onRoom);
        body.add(Unpooled.wrappedBuffer(new byte[length]));
        return body;
    }

    /**
     * Guards against a retry of a request that may have been executed: the connection closes within
     * the call that writes the last byte, before the write listener runs.
     */
    @ParameterizedTest
    @ValueSource(ints = {3, 2 * RequestBody.MAX_BUFFERED_BYTES})
    void reportsResetIfTheConnectionClosesWhileTheLastByteIsWritten(int length) {
        RequestBody body = body(length, () -> {});
        body.end();
        channel.pipeline()
                .addFirst(
                        new ChannelOutboundHandlerAdapter() {
                            private int remaining = length;

                            @Override
                            public void write(
                                    ChannelHandlerContext ctx,
                                    Object bytes,
                                    ChannelPromise promise) {
                                remaining -= ((ByteBuf) bytes).readableBytes();
                                ctx.write(bytes, promise);
                            }

                            @Override
                            public void flush(ChannelHandlerContext ctx) {
                                ctx.flush();
                                if (remaining <= 0) {
                                    ctx.close();
                                }
                            }
                        });
        start(body);
        loopChannel.runPendingTasks();
        assertEquals("CONNECTION_RESET", events.get(events.size() - 1));
    }

    /** The attempt is abandoned within the callback that reports writability. */
    @Test
    void writesNothingAfterAbandonDuringAWritabilityChange() {
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
        readOutboundText();
        body.add(Unpooled.wrappedBuffer(new byte[10]));
        assertFalse(readOutboundText().isEmpty());
        body.writabilityChanged(); // abandons the attempt
        body.add(Unpooled.wrappedBuffer(new byte[10]));
        body.end();
        loopChannel.runPendingTasks();
        assertEquals("", readOutboundText());
        assertFalse(channel.isOpen());
        assertEquals(List.of(), events);
    }

    @Test
    void announcesTheTimeLeftInTheHead() {
        timeLeftMillis = 417;
        RequestBody body = body(3, () -> {});
        body.end();
        start(body);
        assertTrue(readOutboundText().contains("X-Time-Left-Ms: 417\r\n"));
    }

    @Test
    void omitsTheTimeLeftIfNotAnnounced() {
        RequestBody body = body(3, () -> {});
        body.end();
        start(body);
        assertFalse(readOutboundText().contains("X-Time-Left-Ms"));
    }
}
