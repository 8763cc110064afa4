package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * Every request of the warm-up must be served. If a new check of requests rejected them, the
 * warm-up would load and compile next to nothing, without any other sign.
 */
class WarmupTest {
    private static final String CONFIG = readConfig();

    private static String readConfig() {
        try {
            return Files.readString(Path.of("deploy/rehearsal.json"));
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static int served(String config) throws Exception {
        return Warmup.run(Config.parse(config.getBytes(StandardCharsets.UTF_8)), 200, 60_000);
    }

    @Test
    void servesAllRequests() throws Exception {
        assertEquals(200, served(CONFIG));
    }

    /**
     * One of a hundred balancers that share a quota may have almost no requests in flight. If the
     * warm-up kept to that, most of its requests would stay pending.
     */
    @Test
    void servesAllRequestsIfTheBalancerHasPeers() throws Exception {
        Config config =
                Config.parse(
                        CONFIG.replace("\"group-size\":1", "\"group-size\":100")
                                .getBytes(StandardCharsets.UTF_8));
        assertEquals(100, config.facts().settings().balancerCount());
        assertEquals(1, config.withoutPeers().facts().settings().balancerCount());
        assertEquals(200, Warmup.run(config, 200, 60_000));
    }

    /**
     * If the machine stalls for longer than a request's deadline, an attempt of the warm-up closes
     * its connection before its request was read. The start must not fail because of that.
     */
    @Test
    void sendsNoResponseOnAClosedConnection() {
        EmbeddedChannel endpoint = new EmbeddedChannel();
        endpoint.writeOutbound(Unpooled.copiedBuffer("GET / HTTP/1.1", StandardCharsets.US_ASCII));
        endpoint.close();
        assertDoesNotThrow(() -> Warmup.respond(endpoint));
    }
}
