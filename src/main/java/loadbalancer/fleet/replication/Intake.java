package loadbalancer.fleet.replication;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Flag;
import loadbalancer.fleet.replication.Item.Fragment;
import loadbalancer.fleet.replication.Item.Tally;

/** Takes statements in: merges them, passes on what is news, and tells the parts. */
final class Intake {
    private final Holdings holdings;
    private final DisseminationQueue spread;
    private final HeartbeatQueue heartbeats;
    private final Holding own;
    private final PendingStatements pending;
    private final ForgeryDetector forgeries;
    private final List<Shared.Listener> listeners = new ArrayList<>();

    Intake(
            Holdings holdings,
            DisseminationQueue spread,
            Holding own,
            PendingStatements pending,
            ForgeryDetector forgeries) {
        this.holdings = holdings;
        this.spread = spread;
        this.heartbeats = new HeartbeatQueue(holdings);
        this.own = own;
        this.pending = pending;
        this.forgeries = forgeries;
    }

    HeartbeatQueue heartbeats() {
        return heartbeats;
    }

    void listen(Shared.Listener listener) {
        listeners.add(listener);
    }

    /** From another member; whether it is the beginning of a document that isn't here. */
    boolean merge(long now, Item item) {
        Holding holding = item instanceof Item.Sums ? null : holdings.admit(now, item.member());
        if (holding == null) {
            return false;
        }
        if (holding == own
                && !(item instanceof Flag)
                && (!(item instanceof Tally t) || Heartbeat.is(t))) {
            ownName(item);
            return false;
        }
        if (!(item instanceof Fragment f)) {
            merge(now, holding, item);
            return false;
        }
        if (isKnown(holding, f)) {
            return false;
        }
        Document whole = holding.assembly.add(f);
        if (whole != null) {
            merge(now, holding, whole);
        } else if (holding.assembly.failed()) {
            holdings.refuse(RejectionReason.FRAGMENTS, f.member());
        }
        return whole == null && f.index() == 0;
    }

    /** From this member, or one that has been put together. */
    void merge(long now, Holding holding, Item item) {
        Item news = null;
        if (item instanceof Document d) {
            news = holding.merge(now, d) ? d : null;
        } else if (item instanceof Flag f) {
            if (holding.merge(f)) {
                news = holding.flags.get(f.topic());
                pending.changed();
            }
        } else if (item instanceof Tally t && Heartbeat.is(t)) {
            if (holding.beat(now, t.window(), Heartbeat.count(t))) {
                heartbeats.add(t.member());
            }
            return;
        } else if (item instanceof Tally t) {
            news = holding.merge(now, t);
        }
        if (news != null) {
            spread.add(news);
            if (holding != own) {
                for (Shared.Listener listener : listeners) {
                    listener.changed(now, news);
                }
            }
        } else if (holding.why() != null) {
            holdings.refuse(holding.why(), item.member());
        }
    }

    private static boolean isKnown(Holding holding, Fragment f) {
        Document held = holding.documents.get(f.topic());
        return f.incarnation() < holding.generation()
                || held != null
                        && (held.incarnation() > f.incarnation()
                                || held.incarnation() == f.incarnation()
                                        && (held.version() > f.version()
                                                || held.version() == f.version()
                                                        && HashBuckets.digest(held.body())
                                                                == f.digest()));
    }

    /**
     * What others say that this member has said: before it has asked, its earlier life's, which it
     * takes up; afterwards an older statement, or one that it never made.
     */
    private void ownName(Item item) {
        if (pending.asked()) {
            forgeries.look(item, own, pending.generation());
        } else if (item instanceof Document d) {
            pending.recall(d);
        } else if (item instanceof Fragment f) {
            Document whole = own.assembly.add(f);
            if (whole != null) {
                pending.recall(whole);
            }
        } else if (item instanceof Tally t && t.window() >= pending.generation()) {
            pending.enter(t.window() + 1);
        }
    }
}
