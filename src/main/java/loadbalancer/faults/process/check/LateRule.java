package loadbalancer.faults.process.check;

import java.util.function.Consumer;

/** A request has its answer half a second after its client's time at the latest, or it is lost. */
final class LateRule implements Rule {
    private static final long ALLOWED = 500_000;

    @Override
    public void judge(Evidence evidence, Consumer<String> broken) {
        for (Ask ask : evidence.asks()) {
            long late = ask.endedAt() - ask.sentAt() - ask.timeLeft();
            if (ask.end() == Ask.End.ANSWERED
                    && late > ALLOWED + TIGHT_SLACK
                    && !evidence.isHinderedAnyhow(
                            ask.balancer(), null, ask.sentAt(), ask.endedAt())) {
                broken.accept(
                        "late: "
                                + ask.id()
                                + " was answered "
                                + ask.status()
                                + " "
                                + late / 1_000
                                + " ms after its client's time");
            }
        }
    }
}
