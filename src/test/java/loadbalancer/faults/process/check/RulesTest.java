package loadbalancer.faults.process.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.faults.process.check.Ask.End;
import loadbalancer.faults.process.check.Disturbance.Kind;
import org.junit.jupiter.api.Test;

/**
 * Each rule finds what was planted in a log that is good otherwise, and no rule blames what is
 * excused.
 */
class RulesTest {
    private static final long S = 1_000_000;
    private static final long HEALED = 100 * S;
    private final List<Ask> asks = new ArrayList<>();
    private final List<Ran> runs = new ArrayList<>();
    private final List<Told> told = new ArrayList<>();
    private final List<Disturbance> disturbances = new ArrayList<>();

    RulesTest() {
        told.add(new Told(0, "s", true, 0));
        disturbances.add(new Disturbance(Kind.BEGAN, 0, null, 0, 0));
        for (int i = 0; i < 6; i++) {
            served("good" + i, Effect.SAFE, HEALED + i * S);
        }
    }

    private Ask ask(
            String id, Effect effect, long at, boolean kept, End end, long endedAt, int status) {
        Ask ask =
                new Ask(
                        id,
                        0,
                        effect,
                        "k",
                        at,
                        2 * S,
                        kept,
                        end,
                        endedAt,
                        status,
                        status == 200 ? "answer to " + id + " by s" : "");
        asks.add(ask);
        return ask;
    }

    private void ran(String id, long at) {
        runs.add(new Ran(id, "s", "k", at, false));
    }

    private void served(String id, Effect effect, long at) {
        ask(id, effect, at, false, End.ANSWERED, at + S, 200);
        ran(id, at);
    }

    private List<String> broken() {
        List<String> broken = new ArrayList<>();
        Evidence evidence = new Evidence(1, asks, runs, told, disturbances, HEALED);
        Rule.all(2 * S, 2 * S, id -> "").forEach(rule -> rule.judge(evidence, broken::add));
        return broken;
    }

    private void assertBroken(String rule) {
        List<String> broken = broken();
        assertEquals(1, broken.size(), broken::toString);
        assertTrue(broken.get(0).startsWith(rule + ": "), broken::toString);
    }

    private void assertKept() {
        assertEquals(List.of(), broken());
    }

    @Test
    void goodLogKeepsAllRules() {
        assertKept();
    }

    @Test
    void requestWithoutAnAnswerIsFoundUnlessItsProcessWasKilled() {
        ask("x", Effect.SAFE, S, false, End.CLOSED, 2 * S, 0);
        assertBroken("answer");
        disturbances.add(new Disturbance(Kind.KILLED, 0, null, 2 * S, 3 * S));
        assertKept();
        ask("y", Effect.SAFE, 4 * S, false, End.SILENT, 40 * S, 0);
        assertBroken("answer");
    }

    @Test
    void requestThatCrossedAClosingIsExcusedOnlyIfNoUpstreamSawIt() {
        ask("x", Effect.SAFE, S, true, End.CLOSED, 2 * S, 0);
        assertKept();
        ran("x", S);
        assertBroken("answer");
    }

    @Test
    void connectionsResetAtAStopAreExcusedAndAFewAtAHandOver() {
        disturbances.add(new Disturbance(Kind.STOPPED, 0, null, S, 3 * S));
        ask("stop", Effect.SAFE, S, false, End.CLOSED, 2 * S, 0);
        disturbances.add(new Disturbance(Kind.HANDED_OVER, 0, null, 10 * S, 14 * S));
        ask("a", Effect.SAFE, 10 * S, false, End.CLOSED, 11 * S, 0);
        ask("b", Effect.SAFE, 10 * S, false, End.CLOSED, 11 * S, 0);
        assertKept();
        ask("c", Effect.SAFE, 10 * S, false, End.CLOSED, 11 * S, 0);
        assertBroken("answer");
    }

    @Test
    void closedDoorIsFoundUnlessTheProcessWasAway() {
        ask("x", Effect.SAFE, S, false, End.NOT_TAKEN, S, 0);
        assertBroken("answer");
        disturbances.add(new Disturbance(Kind.STOPPED, 0, null, S / 2, 2 * S));
        assertKept();
        disturbances.set(
                disturbances.size() - 1, new Disturbance(Kind.KILLED, 0, null, S / 2, 2 * S));
        assertKept();
    }

    @Test
    void lateAnswerIsFoundUnlessTheProcessStoodStill() {
        ask("x", Effect.SAFE, S, false, End.ANSWERED, 30 * S, 504);
        assertBroken("answer");
        disturbances.add(new Disturbance(Kind.PAUSED, 0, null, 2 * S, 20 * S));
        assertKept();
    }

    @Test
    void twoAnswersAndBlamingOnesAreFound() {
        ask("x", Effect.SAFE, S, true, End.GARBLED, 2 * S, 0);
        assertBroken("answer");
        asks.remove(asks.size() - 1);
        ask("y", Effect.SAFE, S, false, End.ANSWERED, 2 * S, 400);
        assertBroken("answer");
    }

    @Test
    void bodyOfAnotherRequestOrOfNoUpstreamIsFound() {
        served("x", Effect.SAFE, S);
        Ask own = asks.remove(asks.size() - 1);
        asks.add(
                new Ask(
                        "x",
                        0,
                        own.effect(),
                        "k",
                        S,
                        S,
                        false,
                        End.ANSWERED,
                        2 * S,
                        200,
                        "answer to good1 by s"));
        assertBroken("body");
        asks.set(asks.size() - 1, own);
        assertKept();
        runs.remove(runs.size() - 1);
        assertBroken("body");
    }

    @Test
    void refusalOfWhatRanIsFoundForTheUnsafeOnly() {
        ask("x", Effect.UNSAFE, S, false, End.ANSWERED, 2 * S, 503);
        ask("y", Effect.SAFE, S, false, End.ANSWERED, 2 * S, 503);
        ran("y", S);
        runs.add(new Ran("x", "s", "k", S, true));
        assertKept();
        ran("x", S);
        assertBroken("body");
    }

    @Test
    void secondRunOfTheUnsafeIsFoundUnlessTheFirstWasTurnedAway() {
        served("x", Effect.UNSAFE, S);
        runs.add(new Ran("x", "s", "k", S - 1, true));
        assertKept();
        ran("x", S + 1);
        assertBroken("repeat");
    }

    @Test
    void keyedRequestMayRunAgainWithinItsWindowOnly() {
        served("x", Effect.KEYED, S);
        ran("x", 3 * S);
        assertKept();
        ran("x", 5 * S);
        assertBroken("repeat");
        disturbances.add(new Disturbance(Kind.LINK, 0, "s", 4 * S, 4 * S));
        assertKept();
    }

    @Test
    void requestThatNoClientSentIsFound() {
        ran("x", S);
        assertBroken("repeat");
    }

    @Test
    void drainIsKeptFromItsTellingOnAndAgainByANewProcess() {
        told.add(new Told(0, "s", false, 10 * S));
        served("before", Effect.SAFE, 12 * S);
        told.add(new Told(0, "s", true, HEALED - S));
        assertKept();
        served("x", Effect.SAFE, 14 * S);
        assertBroken("drain");
        disturbances.add(new Disturbance(Kind.BEGAN, 0, null, 13 * S, 13 * S));
        assertKept(); // the new process was not told
        told.add(new Told(0, "s", false, 13 * S));
        assertKept();
        served("y", Effect.SAFE, 17 * S);
        assertBroken("drain");
    }

    @Test
    void drainCountsFromWhereItCouldBeHeard() {
        told.add(new Told(0, "s", false, 10 * S));
        served("x", Effect.SAFE, 15 * S);
        told.add(new Told(0, "s", true, HEALED - S));
        assertBroken("drain");
        disturbances.add(new Disturbance(Kind.PAUSED, 0, null, 9 * S, 13 * S));
        assertKept();
        disturbances.set(
                disturbances.size() - 1, new Disturbance(Kind.DISCOVERY, 0, null, 11 * S, 14 * S));
        assertBroken("drain"); // it had heard by then
        disturbances.set(
                disturbances.size() - 1, new Disturbance(Kind.DISCOVERY, 0, null, 9 * S, 11 * S));
        assertKept(); // it had 6 s to hear of it
        served("y", Effect.SAFE, 21 * S);
        assertBroken("drain");
    }

    @Test
    void upstreamThatWasNeverNamedIsFound() {
        ask("x", Effect.SAFE, S, false, End.ANSWERED, 2 * S, 504);
        runs.add(new Ran("x", "stranger", "k", S, false));
        assertBroken("list");
    }

    @Test
    void balancerThatDoesNotComeBackIsFound() {
        asks.removeIf(a -> a.id().equals("good0") || a.id().equals("good1"));
        runs.removeIf(r -> r.id().equals("good0") || r.id().equals("good1"));
        assertBroken("return");
    }
}
