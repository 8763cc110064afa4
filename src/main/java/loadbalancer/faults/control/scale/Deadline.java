package loadbalancer.faults.control.scale;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.faults.process.peer.RealTime;

/** The end of the time that a run may take; all waiting goes by it. */
final class Deadline {
    private static final long POLL_MILLIS = 20;

    private final long endMicros;

    Deadline(long seconds) {
        endMicros = RealTime.micros() + TimeUnit.SECONDS.toMicros(seconds);
    }

    /** Fails if the time is over. */
    void check(String what) {
        if (RealTime.micros() > endMicros) {
            throw new ScaleFailure("the time of the run was over before " + what);
        }
    }

    /** Waits until a condition is true. */
    void await(String what, BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            check(what);
            pause(POLL_MILLIS);
        }
    }

    /** Lets a time pass that is part of the run. */
    void pause(long millis) {
        check("a pause");
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ScaleFailure("interrupted", e);
        }
    }
}
