package loadbalancer.faults;

import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One request as a client makes it.
 *
 * @param timeLeft microseconds for which its client waits from its last byte
 * @param key its idempotency key; of use to keyed ones only
 */
record Ask(
        String id,
        Oracle.Effect effect,
        long timeLeft,
        String key,
        String target,
        int length,
        boolean repeat) {

    /**
     * Any; a twentieth have a body of {@code large} bytes, and the others one of up to 500 if any.
     */
    static Ask drawn(VirtualWorld world, UniformRandomProvider random, int large) {
        int cls = random.nextInt(10);
        Oracle.Effect effect =
                cls < 6 ? Oracle.Effect.SAFE : cls < 9 ? Oracle.Effect.KEYED : Oracle.Effect.UNSAFE;
        String id = "r" + world.nextId();
        long timeLeft = 300 + random.nextInt(1_800);
        int length = random.nextInt(20) == 0 ? large : random.nextInt(500);
        return new Ask(
                id, effect, timeLeft * 1_000, id, "key=k" + random.nextInt(20), length, false);
    }

    /** The same once more, under an id of its own. */
    Ask again(VirtualWorld world) {
        return new Ask("r" + world.nextId(), effect, timeLeft, key, target, length, true);
    }

    byte[] bytes() {
        String name =
                switch (effect) {
                    case SAFE -> "lookup";
                    case KEYED -> "push";
                    case UNSAFE -> "once";
                };
        boolean safe = effect == Oracle.Effect.SAFE;
        String text =
                (safe ? "GET /" : "POST /")
                        + name
                        + "?"
                        + target
                        + " HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: "
                        + id
                        + "\r\nX-Service-Class: "
                        + name
                        + "\r\nX-Account: acme\r\nX-Time-Left-Ms: "
                        + timeLeft / 1_000
                        + "\r\n"
                        + (effect == Oracle.Effect.KEYED ? "Idempotency-Key: " + key + "\r\n" : "")
                        + (repeat ? "X-Repeat: 1\r\n" : "")
                        + (safe
                                ? "\r\n"
                                : "Content-Length: " + length + "\r\n\r\n" + "b".repeat(length));
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
