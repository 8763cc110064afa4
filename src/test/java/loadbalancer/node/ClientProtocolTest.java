package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.faults.process.peer.Sockets;
import loadbalancer.faults.process.peer.Sockets.Client;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients that violate the protocol or stay silent: each gets an error or a close, and none of its
 * bytes are forwarded.
 */
class ClientProtocolTest extends LoopbackNodeFixture {
    private void assertRejected(String text) throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        Client client = client().write(text);
        assertEquals(4, client.read().status() / 100);
        assertNull(client.read(), "the connection is closed");
        assertEquals(200, client().write(submit()).read().status(), "other clients are served");
        assertEquals(1, upstream.requests.size());
    }

    private String changed(String request, String change) {
        String[] parts = change.replace("|", "\r\n").split(" -> ", 2);
        assertTrue(request.contains(parts[0]), change);
        return request.replace(parts[0], parts[1]);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 3 -> Content-Length: 3|Content-Length: 3",
                "Content-Length: 3 -> Content-Length: -3",
                "Content-Length: 3 -> Content-Length: 99999999999999999999",
                "Content-Length: 3 -> Content-Length: x",
                "Content-Length: 3 -> Content-Length: 60000000",
                "Content-Length: 3 -> Transfer-Encoding: gzip",
                "Content-Length: 3||bid -> Content-Length: 50|Transfer-Encoding: chunked||0||GET"
                        + " /look HTTP/1.1||",
                "X-Account: acme -> X-Account",
                "X-Account: acme -> X-Account: acme|X-Account: acme",
                "id-0 -> id 0",
                "id-0 -> ",
                "id-0 -> id-0|X-Correlation-Id: id-1",
                "HTTP/1.1 -> HTTP/2.0",
                "/submit? -> /submits?",
                "/submit? -> /look?",
                "/submit? -> ?",
                "Left-Ms: 9000 -> Left-Ms: +9000",
                "Left-Ms: 9000 -> Left-Ms: 1e3",
                "X-Time-Left-Ms: 9000 -> X-Pad: 1",
                "X-Account: acme -> X-Account: acme|Idempotency-Key: 5c0f"
            })
    void rejectsRequestThatViolatesTheProtocol(String change) throws Exception {
        assertRejected(changed(submit(), change));
    }

    @Test
    void rejectsGetRequestWithBody() throws Exception {
        assertRejected(changed(request("GET", "look", "900", ""), "Length: 0|| -> Length: 3||bid"));
    }

    @Test
    void rejectsHeadBeyondTheLimit() throws Exception {
        assertRejected(changed(submit(), "Host: app.svc -> X-Pad: " + "p".repeat(10_000)));
    }

    @Test
    void rejectsTooManyPipelinedRequests() throws Exception {
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < 200; i++) {
            many.append(submit());
        }
        assertRejected(many.toString());
    }

    /** The request before the invalid bytes may be part of a longer one with a wrong length. */
    @Test
    void rejectsRequestFollowedByInvalidBytes() throws Exception {
        assertRejected(submit() + "noise\r\n\r\n");
    }

    /** Two requests with the same id could not be distinguished. */
    @Test
    void rejectsIdOfRequestInFlight() throws Exception {
        Server upstream = server(HANG);
        start(upstream);
        String first = submit();
        client().write(first);
        Sockets.next(upstream.requests);
        assertEquals(400, client().write(first).read().status());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "POST /submit?key=k1 HTTP/1.1\r\nHost: app.svc\r\n"})
    void answers408ToSilentConnection(String beginning) throws Exception {
        start(server(SERVE));
        Client client = client().write(beginning);
        assertEquals(408, client.read().status());
        assertNull(client.read());
    }

    @Test
    void answers408ToIncompleteBody() throws Exception {
        start(server(SERVE));
        Client client = client().write(changed(submit(), "Content-Length: 3 -> Content-Length: 9"));
        assertEquals(408, client.read().status());
        assertNull(client.read());
    }

    /** Guards against silent connections that use up the limit and keep all others out. */
    @Test
    void closesSilentConnectionsAtTheLimit() throws Exception {
        sockets = 64 + 16;
        start(server(SERVE));
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(client());
        }
        for (int i = 0; i < 20; i++) {
            assertEquals(200, client().write(submit()).read().status());
        }
    }

    @Test
    void closesIdleConnectionsAtTheLimit() throws Exception {
        sockets = 64 + 16;
        start(server(SERVE));
        for (int i = 0; i < 30; i++) {
            Message response = client().write(submit()).read();
            assertEquals(200, response.status());
            assertNull(response.headers().get("connection"));
        }
    }

    /** Only the header fields that upstreams need are forwarded. */
    @Test
    void forwardsOnlyKnownHeaderFields() throws Exception {
        Server upstream = server(SERVE);
        start(upstream);
        String more = "X-Facts: a=1\r\nX-Weight-Hint: 9\r\nX-Other: 1\r\nTE: x\r\n";
        String text = request("POST", "submit", "999999999", more);
        assertEquals(200, client().write(text).read().status());
        Message forwarded = Sockets.next(upstream.requests);
        assertEquals("a=1", forwarded.headers().get("x-facts"));
        assertNull(forwarded.headers().get("x-other"));
        assertNull(forwarded.headers().get("te"));
        assertTrue(
                Long.parseLong(forwarded.headers().get("x-time-left-ms")) <= 20_000,
                "at most the client timeout of the class");
    }
}
