package loadbalancer.faults.process.check;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A served body is what an upstream made for that very request, and who is refused may safely ask
 * again.
 */
final class BodyRule implements Rule {
    @Override
    public void judge(Evidence evidence, Consumer<String> broken) {
        Map<String, List<Ran>> runs = evidence.runsById();
        for (Ask ask : evidence.asks()) {
            if (ask.end() != Ask.End.ANSWERED) {
                continue;
            }
            List<Ran> ran =
                    runs.getOrDefault(ask.id(), List.of()).stream()
                            .filter(r -> !r.unseen())
                            .toList();
            if (ask.status() == 200
                    && ran.stream()
                            .noneMatch(r -> ask.body().equals(answer(ask.id(), r.upstream())))) {
                broken.accept(
                        "body: "
                                + ask.id()
                                + " was served what was not made for it: "
                                + ask.body().substring(0, Math.min(60, ask.body().length())));
            }
            boolean refused = ask.status() == 429 || ask.status() == 503;
            if (refused && ask.effect() == Effect.UNSAFE && !ran.isEmpty()) {
                broken.accept(
                        "body: "
                                + ask.id()
                                + " was refused though it ran at "
                                + ran.get(0).upstream());
            }
        }
    }

    private static String answer(String id, String upstream) {
        return "answer to " + id + " by " + upstream;
    }
}
