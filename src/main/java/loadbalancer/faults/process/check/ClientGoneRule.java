package loadbalancer.faults.process.check;

import java.util.Map;
import java.util.function.Consumer;

/** No attempt begins more than 0.1 s after its client has closed, by the client's own clock. */
final class ClientGoneRule implements Rule {
    private static final long ALLOWED = 100_000;

    @Override
    public void judge(Evidence evidence, Consumer<String> broken) {
        Map<String, Ask> asks = evidence.asksById();
        for (Ran run : evidence.runs()) {
            Ask ask = asks.get(run.id());
            if (ask != null
                    && ask.end() == Ask.End.LEFT
                    && run.at() > ask.endedAt() + ALLOWED + TIGHT_SLACK
                    && !evidence.isHinderedAnyhow(
                            ask.balancer(), run.upstream(), ask.sentAt(), run.at())) {
                broken.accept(
                        "gone: "
                                + run.upstream()
                                + " got "
                                + run.id()
                                + " "
                                + (run.at() - ask.endedAt()) / 1_000
                                + " ms after its client had left");
            }
        }
    }
}
