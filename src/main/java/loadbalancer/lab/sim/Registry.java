package loadbalancer.lab.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;
import loadbalancer.lab.scenario.Section;
import org.apache.commons.rng.UniformRandomProvider;

/** Discovery: the list of servers as it is known there, and how balancers come to hear of it. */
final class Registry {
    private final EventQueue agenda;
    private final UniformRandomProvider random;
    private final boolean pushed;
    private final long notice;
    private final long silentNotice;
    private final long add;
    private final long period;
    private final long spread;
    private final double callCost;
    private final long timeout;
    private final List<EndpointDescriptor> first = new ArrayList<>();
    private final List<EndpointDescriptor> changes = new ArrayList<>();
    private final List<Long> changedAt = new ArrayList<>();
    private final Deque<Call> calls = new ArrayDeque<>();
    private final List<Subscriber> subscribers = new ArrayList<>();
    private boolean busy;
    private boolean down;

    private record Call(Subscriber by, int life, long at, boolean watch) {}

    /** What discovery holds of one balancer. */
    static final class Subscriber {
        final Gateway gateway;
        boolean subscribed;
        boolean flushing;

        /** How many of the changes it has been told. */
        int known;

        long askedAt;
        boolean failed;

        Subscriber(Gateway gateway) {
            this.gateway = gateway;
        }
    }

    Registry(Section s, EventQueue agenda, UniformRandomProvider random) {
        this.agenda = agenda;
        this.random = random;
        pushed = s.text("mode").equals("pushed");
        notice = s.micros("notice_s");
        silentNotice = s.micros("silent_notice_s");
        add = s.micros("add_s");
        period = s.micros("period_ms");
        spread = s.micros("spread_ms");
        callCost = 1e6 / s.number("capacity_per_s");
        timeout = s.micros("timeout_ms");
    }

    boolean mustBeAsked() {
        return !pushed;
    }

    void listed(EndpointDescriptor entry) {
        first.add(entry);
    }

    Subscriber join(Gateway gateway) {
        Subscriber s = new Subscriber(gateway);
        subscribers.add(s);
        return s;
    }

    /** A balancer starts, with the list as it last held it. */
    void started(Subscriber s) {
        s.subscribed = pushed;
        s.askedAt = agenda.now();
        deliver(s, EndpointListUpdateType.RESTORED, heldBy(s));
        if (pushed) {
            flushSoon(s);
        }
    }

    /** A balancer is gone; what it heard last lies on its disk. */
    void ended(Subscriber s) {
        s.subscribed = false;
    }

    private List<EndpointDescriptor> heldBy(Subscriber s) {
        Map<String, EndpointDescriptor> held = new LinkedHashMap<>();
        first.forEach(u -> held.put(u.id(), u));
        for (EndpointDescriptor u : changes.subList(0, s.known)) {
            if (u.state() == EndpointState.REMOVED) {
                held.remove(u.id());
            } else {
                held.put(u.id(), u);
            }
        }
        return new ArrayList<>(held.values());
    }

    // ---- What becomes of the servers
    // -----------------------------------------------------------------

    /** Something changed at a server; it is known here only later. */
    void tell(EndpointDescriptor entry, boolean silently) {
        long delay = silently ? silentNotice : notice;
        agenda.in(
                delay + (entry.state() == EndpointState.READY ? add : 0),
                () -> {
                    changes.add(entry);
                    changedAt.add(agenda.now());
                    subscribers.forEach(this::flushSoon);
                });
    }

    /** What the list said of a server that long ago; null where it said nothing. */
    Long closedBefore(String id, long time) {
        Long closed = null;
        for (int i = 0; i < changes.size() && changedAt.get(i) <= time; i++) {
            if (changes.get(i).id().equals(id)) {
                closed =
                        changes.get(i).state() == EndpointState.READY
                                ? null
                                : closed == null ? changedAt.get(i) : closed;
            }
        }
        return closed;
    }

    private void flushSoon(Subscriber s) {
        if (s.flushing || !s.subscribed || down || s.known == changes.size()) {
            return;
        }
        s.flushing = true;
        agenda.in(
                Draws.upTo(random, period) + Draws.upTo(random, spread),
                () -> {
                    s.flushing = false;
                    if (s.subscribed && !down) {
                        missed(s);
                    }
                });
    }

    private void missed(Subscriber s) {
        Map<String, EndpointDescriptor> newest = new LinkedHashMap<>();
        changes.subList(s.known, changes.size()).forEach(u -> newest.put(u.id(), u));
        s.known = changes.size();
        if (!newest.isEmpty()) {
            deliver(s, EndpointListUpdateType.DELTA, new ArrayList<>(newest.values()));
        }
    }

    private static void deliver(
            Subscriber s, EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        s.gateway.listed(kind, entries);
    }

    // ---- Calls
    // ---------------------------------------------------------------------------------------

    void ask(Subscriber s, boolean watch) {
        s.askedAt = agenda.now();
        Call call = new Call(s, s.gateway.epoch(), agenda.now(), watch);
        calls.add(call);
        agenda.in(
                timeout,
                () -> {
                    if (calls.remove(call)) {
                        failed(call);
                    }
                });
        serve();
    }

    void unsubscribe(Subscriber s) {
        s.subscribed = pushed;
    }

    private void serve() {
        if (busy || down || calls.isEmpty()) {
            return;
        }
        busy = true;
        Call call = calls.poll();
        agenda.in(
                (long) callCost,
                () -> {
                    busy = false;
                    if (down) {
                        failed(call);
                    } else if (call.by.gateway.epoch() == call.life) {
                        answer(call);
                    }
                    serve();
                });
    }

    private void answer(Call call) {
        Subscriber s = call.by;
        s.failed = false;
        if (call.watch) {
            s.subscribed = true;
            Map<String, EndpointDescriptor> newest = new HashMap<>();
            changes.subList(s.known, changes.size()).forEach(u -> newest.put(u.id(), u));
            s.known = changes.size();
            List<EndpointDescriptor> entries = new ArrayList<>(newest.values());
            entries.sort((a, b) -> a.id().compareTo(b.id()));
            deliver(s, EndpointListUpdateType.DELTA, entries);
        } else {
            s.known = changes.size();
            deliver(s, EndpointListUpdateType.FULL, heldBy(s));
        }
    }

    private void failed(Call call) {
        if (call.by.gateway.epoch() == call.life) {
            call.by.failed = true;
            deliver(call.by, EndpointListUpdateType.UNAVAILABLE, List.of());
        }
    }

    /** Discovery fails: subscriptions break, calls run into their time-out. */
    void down(boolean now) {
        down = now;
        for (Subscriber s : subscribers) {
            if (down && s.subscribed) {
                s.subscribed = false;
                s.failed = true;
                if (s.gateway.alive()) {
                    deliver(s, EndpointListUpdateType.UNAVAILABLE, List.of());
                }
            } else if (!down && pushed) {
                s.subscribed = true;
                flushSoon(s);
            }
        }
        serve();
    }
}
