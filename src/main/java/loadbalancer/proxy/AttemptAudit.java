package loadbalancer.proxy;

import loadbalancer.AttemptOutcome;

/** What the run-time check knows of one attempt, from its first byte on. Times are microseconds. */
final class AttemptAudit {
    final String upstream;
    final String zone;
    final int cell;
    final long sentAt;
    private AttemptOutcome outcome;

    AttemptAudit(String upstream, String zone, int cell, long sentAt) {
        this.upstream = upstream;
        this.zone = zone;
        this.cell = cell;
        this.sentAt = sentAt;
    }

    void ended(AttemptOutcome how) {
        outcome = how;
    }

    boolean isOut() {
        return outcome == null;
    }

    boolean mayHaveRun() {
        return outcome == null || !outcome.isProofOfNoExecution();
    }
}
