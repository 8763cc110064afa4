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
 * A rehearsal whose requests are turned away, by a change of what is checked say, would warm up
 * nothing.
 */
class RehearsalTest {
    private static final String CONFIG = read();

    private static String read() {
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
    void requestsAreServed() throws Exception {
        assertEquals(200, served(CONFIG));
    }

    /**
     * One of a hundred allows itself next to nothing in flight, and held most of what it rehearsed.
     */
    @Test
    void oneOfManyBalancersRehearsesAsIfItWereAlone() throws Exception {
        Config one =
                Config.parse(
                        CONFIG.replace("\"group-size\":1", "\"group-size\":100")
                                .getBytes(StandardCharsets.UTF_8));
        assertEquals(100, one.facts().settings().balancerCount());
        assertEquals(1, one.withoutPeers().facts().settings().balancerCount());
        assertEquals(200, Warmup.run(one, 200, 60_000));
    }

    /**
     * Where the machine stands still for longer than a request's deadline, an attempt of the
     * warm-up ends with its connection closed and its request unread. That must not end the start.
     */
    @Test
    void answerToAConnectionThatWasClosedIsSkipped() {
        EmbeddedChannel endpoint = new EmbeddedChannel();
        endpoint.writeOutbound(Unpooled.copiedBuffer("GET / HTTP/1.1", StandardCharsets.US_ASCII));
        endpoint.close();
        assertDoesNotThrow(() -> Warmup.respond(endpoint));
    }
}
