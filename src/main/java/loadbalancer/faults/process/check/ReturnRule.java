package loadbalancer.faults.process.check;

import java.util.function.Consumer;

/** Once the last fault is over, each balancer serves again. */
final class ReturnRule implements Rule {
    /** One alone may be luck. */
    private static final int ENOUGH = 5;

    @Override
    public void judge(Evidence evidence, Consumer<String> broken) {
        for (int b = 0; b < evidence.balancers(); b++) {
            int balancer = b;
            long served =
                    evidence.asks().stream()
                            .filter(
                                    a ->
                                            a.balancer() == balancer
                                                    && a.sentAt() >= evidence.healedAt()
                                                    && a.status() == 200)
                            .count();
            if (served < ENOUGH) {
                broken.accept(
                        "return: balancer "
                                + b
                                + " served "
                                + served
                                + " requests after the last fault");
            }
        }
    }
}
