package loadbalancer.faults.process.run;

import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.peer.RealTime;

/** How long the rig itself stood still at the worst: then what it saw says nothing of others. */
final class Lag implements AutoCloseable {
    private static final long BEAT_MS = 10;

    private final Thread thread = new Thread(this::watch, "lag");
    private volatile long worstMicros;

    Lag() {
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        try {
            while (true) {
                long begin = RealTime.micros();
                Thread.sleep(BEAT_MS);
                long late = RealTime.micros() - begin - TimeUnit.MILLISECONDS.toMicros(BEAT_MS);
                worstMicros = Math.max(worstMicros, late);
            }
        } catch (InterruptedException e) {
            // closed
        }
    }

    long worstMicros() {
        return worstMicros;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
