package loadbalancer.schedule.agreement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.schedule.agreement.Statement.Held;

/** Counts who holds which revision: each member on the roster once for each number. */
final class Votes {
    private final SharedState shared;
    private final Consumer<String> lines;
    private final Map<String, Read> read = new HashMap<>();
    private final Set<String> badTold = new HashSet<>();
    private final Set<Long> twiceTold = new HashSet<>();

    /** What was made of a document, so that it is not read anew each second. */
    private record Read(Document document, Statement statement) {}

    Votes(SharedState shared, Consumer<String> lines) {
        this.shared = shared;
        this.lines = lines;
    }

    /** What each member that counts says; this one says {@code own}. */
    Map<String, Statement> said(long now, String topic, Statement own) {
        Map<String, Statement> said = new LinkedHashMap<>();
        for (Map.Entry<String, Document> d : shared.documents(now, topic).entrySet()) {
            if (!shared.isEligibleVoter(d.getKey()) || d.getKey().equals(shared.self())) {
                continue;
            }
            Read last = read.get(d.getKey());
            if (last == null || last.document != d.getValue()) {
                last = new Read(d.getValue(), Statement.read(d.getValue().body()));
                read.put(d.getKey(), last);
            }
            Statement s = last.statement;
            if (s != null) {
                said.put(d.getKey(), s);
            } else if (badTold.add(d.getKey())) {
                lines.accept("what " + d.getKey() + " says of the calendar can't be read");
            }
        }
        if (shared.isEligibleVoter(shared.self())) {
            said.put(shared.self(), own);
        }
        return said;
    }

    /**
     * Those that a majority of the roster holds. A member with two under one number votes for
     * neither.
     */
    Set<Held> agreed(Map<String, Statement> said) {
        Map<Held, Integer> counts = new HashMap<>();
        for (Statement s : said.values()) {
            Map<Long, Set<Held>> byNumber = new HashMap<>();
            s.holds()
                    .forEach(
                            h -> byNumber.computeIfAbsent(h.number(), n -> new HashSet<>()).add(h));
            byNumber.values().stream()
                    .filter(one -> one.size() == 1)
                    .forEach(one -> counts.merge(one.iterator().next(), 1, Integer::sum));
        }
        counts.values().removeIf(n -> n < shared.majority());
        return counts.keySet();
    }

    /** Says once of each number of ours that others hold something else under it. */
    void tellTwice(Map<String, Statement> said, List<Held> own) {
        for (Held h : own) {
            Map<String, Integer> holders = new TreeMap<>();
            said.values()
                    .forEach(
                            s ->
                                    s.holds().stream()
                                            .filter(o -> o.number() == h.number())
                                            .forEach(
                                                    o ->
                                                            holders.merge(
                                                                    o.digest(), 1, Integer::sum)));
            if (holders.size() > 1 && twiceTold.add(h.number())) {
                lines.accept(
                        "revision "
                                + h.number()
                                + " is held with different content: "
                                + holders
                                + "; the one that "
                                + shared.majority()
                                + " hold counts, else none");
            }
        }
    }
}
