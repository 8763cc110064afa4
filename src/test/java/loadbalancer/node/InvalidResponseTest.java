package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams that send invalid responses, or bytes that belong to no response. */
class InvalidResponseTest extends LoopbackNodeFixture {
    /** Surplus bytes on a connection must not become the response to the next request on it. */
    @ParameterizedTest
    @ValueSource(
            strings = {"HTTP/1.1 200 OK|Content-Length: 4||else", "HTTP/1.1 200 O", "noise", "||"})
    void doesNotReuseConnectionWithBytesAfterTheResponse(String surplus) throws Exception {
        idle = "100"; // so that the idle timeout does not close the connection
        Server upstream =
                server(
                        (m, s) -> {
                            String id = m.headers().get("x-correlation-id");
                            s.getOutputStream()
                                    .write(
                                            ("HTTP/1.1 200 OK\r\nContent-Length: "
                                                            + id.length()
                                                            + "\r\n\r\n"
                                                            + id
                                                            + surplus.replace("|", "\r\n"))
                                                    .getBytes(StandardCharsets.US_ASCII));
                        });
        start(upstream);
        Client client = client();
        for (int i = 0; i < 3; i++) {
            assertEquals("id-" + i, client.write(submit()).read().body());
            assertEquals(i, Sockets.next(upstream.ended));
        }
    }

    /** Bytes on an idle connection belong to no request. */
    @Test
    void closesIdleConnectionThatSendsBytes() throws Exception {
        idle = "100";
        Server upstream = server(SERVE);
        start(upstream);
        assertEquals(200, client().write(submit()).read().status());
        Sockets.answer(upstream.accepted.get(0), "200 OK", "", "unsolicited");
        assertEquals(0, Sockets.next(upstream.ended));
        assertEquals("done", client().write(submit()).read().body());
    }

    /**
     * The upstream may have processed the request, so the balancer must neither retry it nor answer
     * that it was rejected. It must close the connection, too.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "no colon here|Content-Length: 4||else",
                "Content-Length: 3|Content-Length: 4||else",
                "Content-Length: -1||else",
                "Content-Length: x||else",
                "Content-Length: 4|Transfer-Encoding: chunked||0||",
                "Transfer-Encoding: chunked||4|else|zz|else|0||",
                "Content-Length: 3221225472||else"
            })
    void invalidResponseFailsWithoutRetry(String rest) throws Exception {
        assertFailsWithoutRetry("HTTP/1.1 200 OK|" + rest);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 2x0 OK|Content-Length: 4||else",
                "HTTP/1.1 OK 200|Content-Length: 4||else",
                "HTTP/2.0 200 OK|Content-Length: 4||else",
                "HTTP/1.1 101 Switch|Upgrade: x||else",
                "HTTP/1.1 503 Full|X-Unprocessed: 1|Content-Length: x||"
            })
    void unparsableResponseHeadFailsWithoutRetry(String text) throws Exception {
        assertFailsWithoutRetry(text);
    }

    @Test
    void endlessResponseHeadFailsWithoutRetry() throws Exception {
        assertFailsWithoutRetry("HTTP/1.1 200 OK|" + "X-Pad: pppppppppppppppp|".repeat(2_000));
    }

    private void assertFailsWithoutRetry(String text) throws Exception {
        byte[] bytes = text.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII);
        Server one = server((m, s) -> s.getOutputStream().write(bytes));
        Server two = server((m, s) -> s.getOutputStream().write(bytes));
        start(one, two);
        assertFailed(client().write(submit()).read());
        assertEquals(1, one.requests.size() + two.requests.size());
        Server used = one.requests.isEmpty() ? two : one;
        assertEquals(0, Sockets.next(used.ended));
        assertTrue(used.accepted.get(0).isClosed());
    }
}
