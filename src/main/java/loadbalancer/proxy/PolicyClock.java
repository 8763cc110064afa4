package loadbalancer.proxy;

import java.util.concurrent.TimeUnit;
import loadbalancer.transport.Transport;

/**
 * The policy's clock: Unix time in microseconds as of the start of the process, advanced by the
 * monotonic clock, so that it never steps.
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
