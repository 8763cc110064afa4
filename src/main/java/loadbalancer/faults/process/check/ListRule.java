package loadbalancer.faults.process.check;

import java.util.Map;
import java.util.function.Consumer;

/** Requests go only to upstreams that discovery had named to that balancer before. */
final class ListRule implements Rule {
    @Override
    public void judge(Evidence evidence, Consumer<String> broken) {
        Map<String, Ask> asks = evidence.asksById();
        for (Ran run : evidence.runs()) {
            Ask ask = asks.get(run.id());
            if (ask != null
                    && evidence.told().stream()
                            .noneMatch(
                                    t ->
                                            t.balancer() == ask.balancer()
                                                    && t.upstream().equals(run.upstream())
                                                    && t.at() <= run.at())) {
                broken.accept(
                        "list: "
                                + run.upstream()
                                + " got "
                                + run.id()
                                + ", and balancer "
                                + ask.balancer()
                                + " was never told of it");
            }
        }
    }
}
