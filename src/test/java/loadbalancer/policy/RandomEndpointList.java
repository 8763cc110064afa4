package loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.LoadBalancer.ListKind;
import loadbalancer.LoadBalancer.State;
import loadbalancer.LoadBalancer.Upstream;

/** The endpoint list of a random history, and its random changes. */
final class RandomEndpointList {
    /** Takes a list, or changes of it. */
    interface Receiver {
        void deliver(ListKind kind, List<Upstream> entries);
    }

    private final int slotCount;
    private final SplittableRandom random;
    private final Receiver receiver;
    private final Map<Integer, Upstream> entryBySlot = new LinkedHashMap<>();
    private final Set<String> listedIds = new HashSet<>();

    RandomEndpointList(int slotCount, SplittableRandom random, Receiver receiver) {
        this.slotCount = slotCount;
        this.random = random;
        this.receiver = receiver;
    }

    /** Whether an endpoint was ever listed. */
    boolean wasListed(String id) {
        return listedIds.contains(id);
    }

    /** Delivers the list that was known before the start. */
    void deliverFirst(int zones) {
        List<Upstream> known = new ArrayList<>();
        for (int slot = 0; slot < slotCount; slot++) {
            Upstream entry = newEntry(slot, 0, 0, zones);
            entryBySlot.put(slot, entry);
            known.add(entry);
        }
        deliver(ListKind.RESTORED, known);
    }

    private static Upstream newEntry(int slot, int generation, long launchedAtMicros, int zones) {
        double rating = slot % 5 == 4 ? 0 : 0.5 + slot % 3;
        String id = "u" + slot + (generation > 0 ? "g" + generation : "");
        return new Upstream(id, slot % zones, 0, slot / 3, State.READY, rating, launchedAtMicros);
    }

    private void deliver(ListKind kind, List<Upstream> entries) {
        entries.forEach(entry -> listedIds.add(entry.id()));
        receiver.deliver(kind, entries);
    }

    /** Changes the list; {@code count} makes ids of new endpoints distinct. */
    void change(int value, long nowMicros, int zones, long count) {
        if (slotCount == 0 || value % 9 == 0) {
            deliver(ListKind.UNAVAILABLE, List.of());
            return;
        }
        int slot = value / 9 % slotCount;
        Upstream entry = entryBySlot.get(slot);
        switch (value % 9) {
            case 1, 2 -> changeState(entry, State.DRAINING);
            case 3 -> changeState(entry, State.GONE);
            case 4 -> changeState(entry, State.READY);
            case 5 -> restart(slot, entry, false, nowMicros);
            case 6 -> {
                Upstream next = newEntry(slot, (int) count % 1_000 + 1, nowMicros, zones);
                Upstream gone = with(entry, State.GONE, entry.launchedAt());
                entryBySlot.put(slot, next);
                deliver(ListKind.CHANGES, List.of(gone, next));
            }
            case 7 -> {
                boolean isAll = value / 9 % 2 == 0;
                entryBySlot.forEach((each, old) -> restart(each, old, isAll, nowMicros));
            }
            default -> deliverSome();
        }
    }

    private void deliverSome() {
        List<Upstream> some = new ArrayList<>();
        entryBySlot.values().stream().filter(entry -> random.nextInt(3) > 0).forEach(some::add);
        deliver(ListKind.COMPLETE, some);
    }

    private void changeState(Upstream entry, State state) {
        deliver(ListKind.CHANGES, List.of(with(entry, state, entry.launchedAt())));
    }

    /** A new process on the same machine, for all endpoints or for each second one. */
    private void restart(int slot, Upstream entry, boolean isAll, long nowMicros) {
        if (isAll || slot % 2 == 0) {
            entryBySlot.put(slot, with(entry, State.READY, nowMicros));
            deliver(ListKind.CHANGES, List.of(entryBySlot.get(slot)));
        }
    }

    private static Upstream with(Upstream entry, State state, long launchedAtMicros) {
        return new Upstream(
                entry.id(),
                entry.zone(),
                entry.kind(),
                entry.cell(),
                state,
                entry.rating(),
                launchedAtMicros);
    }
}
