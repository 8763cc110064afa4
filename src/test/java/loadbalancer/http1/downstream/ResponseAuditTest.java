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

/**
 * Tests that the audit reports a connection that this side closes before a complete request has its
 * final response, and does not report connections that fail.
 */
class ResponseAuditTest {
    private final Violations violations = new Violations();
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new ResponseAudit(violations, () -> 0));

    private void receiveRequest() {
        channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    }

    private void writeResponse(HttpResponseStatus status) {
        channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status));
    }

    private void assertViolations(String expected) {
        channel.finishAndReleaseAll();
        assertEquals(expected, violations.summary());
    }

    @Test
    void acceptsCloseAfterTheFinalResponse() {
        receiveRequest();
        writeResponse(HttpResponseStatus.CONTINUE);
        writeResponse(HttpResponseStatus.OK);
        channel.close();
        assertViolations("none");
    }

    @Test
    void reportsCloseBeforeTheResponse() {
        receiveRequest();
        writeResponse(HttpResponseStatus.OK);
        receiveRequest();
        channel.close();
        assertViolations("closed_unanswered 1");
    }

    @Test
    void acceptsCloseDuringAResponse() {
        receiveRequest();
        channel.writeOutbound(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
        channel.close();
        assertViolations("none");
    }

    @Test
    void acceptsCloseAfterANetworkFailure() {
        receiveRequest();
        channel.pipeline().fireExceptionCaught(new IOException("reset"));
        channel.close();
        try {
            channel.checkException();
        } catch (Exception e) {
            // the exception that was fired above
        }
        assertViolations("none");
    }

    @Test
    void reportsSecondResponseToARequest() {
        receiveRequest();
        writeResponse(HttpResponseStatus.OK);
        writeResponse(HttpResponseStatus.REQUEST_TIMEOUT);
        assertEquals("none", violations.summary());
        writeResponse(HttpResponseStatus.OK);
        assertViolations("answered_twice 1");
    }
}
