package loadbalancer.faults.control;

import java.util.function.LongSupplier;

/** All that happened in a run, one line each; equal for equal seeds. */
final class Trace {
    private static final long MICROSECOND = 1_000;

    private final StringBuilder lines = new StringBuilder();
    private final LongSupplier clock;

    Trace(LongSupplier clock) {
        this.clock = clock;
    }

    void add(String host, String what) {
        lines.append(clock.getAsLong() / MICROSECOND)
                .append(' ')
                .append(host)
                .append(' ')
                .append(what)
                .append('\n');
    }

    String text() {
        return lines.toString();
    }
}
