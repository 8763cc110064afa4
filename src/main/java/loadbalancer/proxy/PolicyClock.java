package loadbalancer.proxy;

import java.util.concurrent.TimeUnit;
import loadbalancer.transport.Transport;

/**
 * The clock of the policy. It starts at the Unix time of its creation, in microseconds, and is
 * advanced by the monotonic clock, so that it never steps.
 */
final class PolicyClock {
    private final Transport transport;
    private final long epochMicros;
    private final long originNanos;

    PolicyClock(Transport transport) {
        this.transport = transport;
        this.epochMicros = TimeUnit.MILLISECONDS.toMicros(transport.wallMillis());
        this.originNanos = transport.nanoTime();
    }

    long nowMicros() {
        return epochMicros + (transport.nanoTime() - originNanos) / 1_000;
    }
}
