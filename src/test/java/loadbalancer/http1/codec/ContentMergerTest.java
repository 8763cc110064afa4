package loadbalancer.http1.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ContentMergerTest {
    private final EmbeddedChannel channel = new EmbeddedChannel(new ContentMerger());

    private static HttpContent part(String text) {
        return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private String next() {
        HttpContent content = channel.readInbound();
        String text = content.content().toString(StandardCharsets.US_ASCII);
        content.release();
        return text;
    }

    private void readWithoutCompletion(Object... messages) {
        for (Object message : messages) {
            channel.pipeline().fireChannelRead(message);
        }
    }

    @Test
    void smallPartsOfOneReadArePassedOnAsOne() {
        readWithoutCompletion(part("a"), part("b"), part("c"));
        assertNull(channel.readInbound());
        channel.pipeline().fireChannelReadComplete();
        assertEquals("abc", next());
    }

    @Test
    void partsKeepTheirOrderAroundLargeOnesAndTheEnd() {
        String large = "x".repeat(2_000);
        readWithoutCompletion(
                part("a"), part(large), part("b"), LastHttpContent.EMPTY_LAST_CONTENT);
        assertEquals("a", next());
        assertEquals(large, next());
        assertEquals("b", next());
        assertInstanceOf(LastHttpContent.class, channel.readInbound());
    }

    @Test
    void moreThanTheMaximumIsPassedOnWithinTheRead() {
        for (int i = 0; i < 17; i++) {
            readWithoutCompletion(part("x".repeat(1_024)));
        }
        assertEquals(16_384, next().length());
    }
}
