package loadbalancer.fleet.replication;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The holdings of all members, and what was refused. */
final class Holdings implements DisseminationQueue.Held {
    final Map<String, Holding> byMember = new TreeMap<>();
    final HashBuckets buckets = new HashBuckets();
    private final Map<RejectionReason, Long> refused = new EnumMap<>(RejectionReason.class);
    private final Set<String> roster;
    private final Consumer<String> told;
    private int strangers;

    Holdings(Set<String> roster, Consumer<String> told) {
        this.roster = roster;
        this.told = told;
    }

    /** The holding of that member; null if there is no place for another stranger. */
    Holding admit(long now, String member) {
        Holding holding = byMember.get(member);
        if (holding != null) {
            return holding;
        }
        boolean known = roster.contains(member);
        if (!known && strangers >= Limits.STRANGERS && !forgetOne()) {
            refuse(RejectionReason.STRANGERS, member);
            return null;
        }
        strangers += known ? 0 : 1;
        holding =
                new Holding(
                        known ? Limits.budget(roster.size()) : Limits.strangersBudget(),
                        buckets,
                        now);
        byMember.put(member, holding);
        return holding;
    }

    private boolean forgetOne() {
        for (Map.Entry<String, Holding> e : byMember.entrySet()) {
            if (!roster.contains(e.getKey()) && e.getValue().silent() && !e.getValue().hasFlags()) {
                byMember.remove(e.getKey());
                strangers--;
                return true;
            }
        }
        return false;
    }

    void refuse(RejectionReason why, String member) {
        if (refused.merge(why, 1L, Long::sum) == 1) {
            told.accept(
                    "fleet: a statement of "
                            + member
                            + " is not taken, its bound is "
                            + why.label()
                            + "; from here on such ones are only counted");
        }
    }

    Map<RejectionReason, Long> refused() {
        return new EnumMap<>(refused);
    }

    /** Drops what members but for one said that were not heard since then. */
    void age(long before, Holding but) {
        for (Holding holding : byMember.values()) {
            if (holding != but && !holding.silent() && holding.heardAt() < before) {
                holding.age();
            }
        }
    }

    @Override
    public Item find(Class<?> kind, String topic, String member, long window) {
        Holding holding = byMember.get(member);
        if (holding == null) {
            return null;
        }
        if (kind == Item.Document.class) {
            return holding.documents.get(topic);
        }
        if (kind == Item.Flag.class) {
            return holding.flags.get(topic);
        }
        Map<Long, Item.Tally> windows = holding.tallies.get(topic);
        return windows == null ? null : windows.get(window);
    }
}
