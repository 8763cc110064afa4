package loadbalancer.rollout.stage;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import loadbalancer.fleet.replication.SharedState;

/** What the fleet says on one plan, of each member whose word counts, once. */
final class Votes {
    /** What was read of a document; most documents are the same at the next look. */
    private record Read(byte[] body, Statement statement) {}

    private final SharedState shared;
    private final String key;
    private Map<String, Read> reads = Map.of();
    private final Map<String, Statement> statements = new TreeMap<>();

    Votes(SharedState shared, String key) {
        this.shared = shared;
        this.key = key;
    }

    /** Takes in what is said now. */
    Votes look(long now) {
        Map<String, Read> next = new HashMap<>();
        statements.clear();
        shared.documents(now, topic(key))
                .forEach(
                        (name, document) -> {
                            // The name that it is filed under and no other: one member has one
                            // vote.
                            if (shared.roster().contains(name) && shared.isEligibleVoter(name)) {
                                Read read = reads.get(name);
                                if (read == null || read.body != document.body()) {
                                    read = new Read(document.body(), Statement.of(document.body()));
                                }
                                next.put(name, read);
                                if (read.statement != null) {
                                    statements.put(name, read.statement);
                                }
                            }
                        });
        reads = next;
        return this;
    }

    static String topic(String key) {
        return "rollout/state/" + key;
    }

    /** What a member says; null if it says nothing. */
    Statement of(String name) {
        return statements.get(name);
    }

    int count(Predicate<Statement> test) {
        return (int) statements.values().stream().filter(test).count();
    }

    boolean majority(Predicate<Statement> test) {
        return count(test) >= shared.majority();
    }

    /** The stage that is open: a majority holds the verdict of each before it. */
    int opened(int last) {
        int opened = 0;
        while (opened <= last && majority(passed(opened + 1))) {
            opened++;
        }
        return opened;
    }

    private static Predicate<Statement> passed(int stage) {
        return s -> s.passed() >= stage;
    }

    /** A majority let that member begin, each holding that the stage may be open. */
    boolean granted(String name, long ask, int stage) {
        return ask != 0
                && majority(s -> s.passed() >= stage && s.grants().getOrDefault(name, 0L) == ask);
    }

    /** Whether the member was last heard to serve, and is there. */
    boolean serves(String name) {
        Statement s = statements.get(name);
        return s != null
                && s.serving()
                && s.phase() != Statement.Phase.BETWEEN
                && shared.isAlive(name);
    }

    /** Whether the member has changed and serves. */
    boolean done(String name) {
        Statement s = statements.get(name);
        return s != null && s.serving() && s.phase() == Statement.Phase.NEW;
    }
}
