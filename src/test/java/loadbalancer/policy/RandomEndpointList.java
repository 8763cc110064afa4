package loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.EndpointState;

/** The endpoint list of a random history and its random changes. */
final class RandomEndpointList {
    /** Receives a list or a change of it. */
    interface Receiver {
        void deliver(EndpointListUpdateType kind, List<EndpointDescriptor> entries);
    }

    private final int slotCount;
    private final SplittableRandom random;
    private final Receiver receiver;
    private final Map<Integer, EndpointDescriptor> entryBySlot = new LinkedHashMap<>();
    private final Set<String> listedIds = new HashSet<>();

    RandomEndpointList(int slotCount, SplittableRandom random, Receiver receiver) {
        this.slotCount = slotCount;
        this.random = random;
        this.receiver = receiver;
    }

    /** Returns whether an endpoint was ever listed. */
    boolean wasListed(String id) {
        return listedIds.contains(id);
    }

    /** Delivers the list that was known before the start of the balancer. */
    void deliverInitialList(int zones) {
        List<EndpointDescriptor> initial = new ArrayList<>();
        for (int slot = 0; slot < slotCount; slot++) {
            EndpointDescriptor entry = newEntry(slot, 0, 0, zones);
            entryBySlot.put(slot, entry);
            initial.add(entry);
        }
        deliver(EndpointListUpdateType.RESTORED, initial);
    }

    private static EndpointDescriptor newEntry(
            int slot, int generation, long launchedAtMicros, int zones) {
        double capacityWeight = slot % 5 == 4 ? 0 : 0.5 + slot % 3;
        String id = "u" + slot + (generation > 0 ? "g" + generation : "");
        return new EndpointDescriptor(
                id,
                slot % zones,
                0,
                slot / 3,
                EndpointState.READY,
                capacityWeight,
                launchedAtMicros);
    }

    private void deliver(EndpointListUpdateType kind, List<EndpointDescriptor> entries) {
        entries.forEach(entry -> listedIds.add(entry.id()));
        receiver.deliver(kind, entries);
    }

    /** Changes the list; {@code count} makes the ids of new endpoints distinct. */
    void change(int value, long nowMicros, int zones, long count) {
        if (slotCount == 0 || value % 9 == 0) {
            deliver(EndpointListUpdateType.UNAVAILABLE, List.of());
            return;
        }
        int slot = value / 9 % slotCount;
        EndpointDescriptor entry = entryBySlot.get(slot);
        switch (value % 9) {
            case 1, 2 -> changeState(entry, EndpointState.DRAINING);
            case 3 -> changeState(entry, EndpointState.REMOVED);
            case 4 -> changeState(entry, EndpointState.READY);
            case 5 -> restart(slot, entry, false, nowMicros);
            case 6 -> {
                EndpointDescriptor next = newEntry(slot, (int) count % 1_000 + 1, nowMicros, zones);
                EndpointDescriptor removed =
                        with(entry, EndpointState.REMOVED, entry.launchedAtMicros());
                entryBySlot.put(slot, next);
                deliver(EndpointListUpdateType.DELTA, List.of(removed, next));
            }
            case 7 -> {
                boolean isAll = value / 9 % 2 == 0;
                entryBySlot.forEach((each, old) -> restart(each, old, isAll, nowMicros));
            }
            default -> deliverPartialList();
        }
    }

    private void deliverPartialList() {
        List<EndpointDescriptor> partial = new ArrayList<>();
        entryBySlot.values().stream().filter(entry -> random.nextInt(3) > 0).forEach(partial::add);
        deliver(EndpointListUpdateType.FULL, partial);
    }

    private void changeState(EndpointDescriptor entry, EndpointState state) {
        deliver(
                EndpointListUpdateType.DELTA,
                List.of(with(entry, state, entry.launchedAtMicros())));
    }

    /**
     * Replaces the process of an endpoint by a new one on the same machine. Without {@code isAll},
     * this applies only to every second endpoint.
     */
    private void restart(int slot, EndpointDescriptor entry, boolean isAll, long nowMicros) {
        if (isAll || slot % 2 == 0) {
            entryBySlot.put(slot, with(entry, EndpointState.READY, nowMicros));
            deliver(EndpointListUpdateType.DELTA, List.of(entryBySlot.get(slot)));
        }
    }

    private static EndpointDescriptor with(
            EndpointDescriptor entry, EndpointState state, long launchedAtMicros) {
        return new EndpointDescriptor(
                entry.id(),
                entry.zoneIndex(),
                entry.machineKindIndex(),
                entry.cellIndex(),
                state,
                entry.capacityWeight(),
                launchedAtMicros);
    }
}
