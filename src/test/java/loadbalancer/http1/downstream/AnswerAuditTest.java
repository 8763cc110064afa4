package loadbalancer.http1.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import loadbalancer.proxy.Violations;
import org.junit.jupiter.api.Test;

/** A close on what was read whole is counted, and what a client or the network ended is not. */
class AnswerAuditTest {
    private final Violations violations = new Violations();
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new ResponseAudit(violations, () -> 0));

    private void ask() {
        channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    }

    private void answer(HttpResponseStatus status) {
        channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status));
    }

    private void assertFound(String found) {
        channel.finishAndReleaseAll();
        assertEquals(found, violations.summary());
    }

    @Test
    void answeredAndClosed() {
        ask();
        answer(HttpResponseStatus.CONTINUE);
        answer(HttpResponseStatus.OK);
        channel.close();
        assertFound("none");
    }

    @Test
    void closedOnARequest() {
        ask();
        answer(HttpResponseStatus.OK);
        ask();
        channel.close();
        assertFound("closed_unanswered 1");
    }

    @Test
    void answerThatBreaksOffHasFailedAndIsNotLost() {
        ask();
        channel.writeOutbound(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
        channel.close();
        assertFound("none");
    }

    @Test
    void brokenByTheNetwork() {
        ask();
        channel.pipeline().fireExceptionCaught(new IOException("reset"));
        channel.close();
        try {
            channel.checkException();
        } catch (Exception e) {
            // the one from above
        }
        assertFound("none");
    }

    @Test
    void answeredTwice() {
        ask();
        answer(HttpResponseStatus.OK);
        answer(HttpResponseStatus.REQUEST_TIMEOUT);
        assertEquals("none", violations.summary());
        answer(HttpResponseStatus.OK);
        assertFound("answered_twice 1");
    }
}
