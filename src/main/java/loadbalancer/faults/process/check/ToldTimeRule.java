package loadbalancer.faults.process.check;

import java.util.Map;
import java.util.function.Consumer;

/** An upstream is told at most the time that the client has left. */
final class ToldTimeRule implements Rule {
    private static final long ALLOWED = 150_000;

    @Override
    public void judge(Evidence evidence, Consumer<String> broken) {
        Map<String, Ask> asks = evidence.asksById();
        for (Ran run : evidence.runs()) {
            Ask ask = asks.get(run.id());
            if (ask == null || run.toldMs() == Ran.UNTOLD) {
                continue;
            }
            long left = ask.sentAt() + ask.timeLeft() - run.at();
            if (run.toldMs() * 1_000 > left + ALLOWED + TIGHT_SLACK
                    && !evidence.isHinderedAnyhow(
                            ask.balancer(), run.upstream(), ask.sentAt(), run.at())) {
                broken.accept(
                        "told: "
                                + run.upstream()
                                + " was told "
                                + run.toldMs()
                                + " ms for "
                                + run.id()
                                + ", and its client had "
                                + left / 1_000
                                + " ms left");
            }
        }
    }
}
