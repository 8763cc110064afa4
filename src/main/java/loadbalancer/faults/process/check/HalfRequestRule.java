package loadbalancer.faults.process.check;

import java.util.function.Consumer;

/**
 * A client that stops in the middle of a request gets an error or its connection's end within 3 s.
 */
final class HalfRequestRule implements Rule {
    private static final long ALLOWED = 3_000_000;

    @Override
    public void judge(Evidence evidence, Consumer<String> broken) {
        for (Ask ask : evidence.asks()) {
            boolean late =
                    ask.end() == Ask.End.HALF_KEPT
                            || ask.end() == Ask.End.HALF_ENDED
                                    && ask.endedAt() - ask.sentAt() > ALLOWED + SHORT_SLACK;
            if (late
                    && !evidence.isHinderedAnyhow(
                            ask.balancer(), null, ask.sentAt(), ask.endedAt())) {
                broken.accept(
                        "half: "
                                + ask.id()
                                + " stopped half way and had nothing after "
                                + (ask.endedAt() - ask.sentAt()) / 1_000
                                + " ms");
            }
        }
    }
}
