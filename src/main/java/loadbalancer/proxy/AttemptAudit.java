package loadbalancer.proxy;

import loadbalancer.AttemptOutcome;

/**
 * Records one attempt for {@link SendAudit}, starting when its first byte is sent. Times are in
 * microseconds of the monotonic clock.
 */
final class AttemptAudit {
    final String endpointId;
    final String zone;
    final int cell;
    final long sentAtMicros;
    private AttemptOutcome outcome;

    AttemptAudit(String endpointId, String zone, int cell, long sentAtMicros) {
        this.endpointId = endpointId;
        this.zone = zone;
        this.cell = cell;
        this.sentAtMicros = sentAtMicros;
    }

    void ended(AttemptOutcome attemptOutcome) {
        outcome = attemptOutcome;
    }

    boolean isOutstanding() {
        return outcome == null;
    }

    boolean mayHaveBeenExecuted() {
        return outcome == null || !outcome.provesNoExecution();
    }
}
