package loadbalancer.control.publish;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.VersionedResource;

/**
 * Indexes all resources and the retained deletions in the order of their last changes, globally and
 * per service. Applying a change takes logarithmic time for each resource in it. Not thread-safe.
 */
final class ResourceIndex {
    private static final Comparator<VersionedResource> BY_REVISION =
            Comparator.comparing(VersionedResource::revision);

    private final int retainedDeletions;
    private final NavigableMap<Position, IndexEntry> all = new TreeMap<>();
    private final Map<String, NavigableMap<Position, IndexEntry>> byService = new HashMap<>();
    private final Map<ResourceId, IndexEntry> byId = new HashMap<>();
    private final Map<ResourceId, IndexEntry> deletions = new LinkedHashMap<>();
    private final EpochHistory history = new EpochHistory();
    private final List<RevisionGap> gaps = new ArrayList<>();
    private Revision revision;
    private Position horizon;
    private long sequence;

    /** Creates an index of a state; deletions before its revision are unknown. */
    ResourceIndex(ResourceState state, int retainedDeletions) {
        this.retainedDeletions = retainedDeletions;
        rebuild(state);
    }

    /** Discards the content of the index and indexes a state. */
    void rebuild(ResourceState state) {
        all.clear();
        byService.clear();
        byId.clear();
        deletions.clear();
        history.clear();
        gaps.clear();
        revision = state.revision();
        horizon = Position.endOf(revision);
        history.add(revision);
        state.resources()
                .sorted(BY_REVISION)
                .forEach(resource -> put(resource.revision(), resource));
    }

    /** Returns the revision of the index. */
    Revision revision() {
        return revision;
    }

    /** Returns the position after all current entries and before all later ones. */
    Position end() {
        return Position.endOf(revision);
    }

    /** Returns the position after which all deletions are retained. */
    Position horizon() {
        return horizon;
    }

    /** Returns whether a subscriber at a revision can be sent a delta instead of a snapshot. */
    boolean canSendDelta(Revision from) {
        return !from.equals(Revision.NONE)
                && !from.isAfter(revision)
                && history.contains(from)
                && !Position.endOf(from).isBefore(horizon)
                && !isInGap(from);
    }

    private boolean isInGap(Revision from) {
        return gaps.stream().anyMatch(gap -> gap.contains(from));
    }

    /** Adds a range of revisions that can't be the base of a delta. */
    void addGap(RevisionGap gap) {
        gaps.add(gap);
    }

    /** Returns the entries of a scope after a position; valid until the next change. */
    Iterator<IndexEntry> after(Position position, Scope scope) {
        if (scope.isAll()) {
            return all.tailMap(position, false).values().iterator();
        }
        ScopeIterator merged = new ScopeIterator();
        for (String service : scope.services()) {
            NavigableMap<Position, IndexEntry> entries = byService.get(service);
            if (entries != null) {
                merged.add(entries.tailMap(position, false).values().iterator());
            }
        }
        return merged;
    }

    /**
     * Moves the resources of a change to the end of the order. In a change merged from several,
     * resources keep their own revisions and deletions get the last revision.
     */
    void apply(Revision next, List<VersionedResource> put, List<ResourceId> deleted) {
        if (!next.isAfter(revision)) {
            throw new IllegalArgumentException("revision " + next + " is not after " + revision);
        }
        Revision before = revision;
        for (VersionedResource resource : put.stream().sorted(BY_REVISION).toList()) {
            Revision ownRevision = resource.revision();
            boolean isBetween = ownRevision.isAfter(before) && !ownRevision.isAfter(next);
            put(isBetween ? ownRevision : next, resource);
        }
        for (ResourceId id : deleted) {
            delete(next, id);
        }
        revision = next;
        history.add(next);
        discardOldDeletions();
    }

    private void put(Revision at, VersionedResource resource) {
        history.add(at);
        remove(resource.id());
        add(new IndexEntry(nextPosition(at), resource.id(), false, ResourceCodec.encode(resource)));
    }

    private void delete(Revision at, ResourceId id) {
        remove(id);
        IndexEntry deletion = new IndexEntry(nextPosition(at), id, true, ResourceCodec.encode(id));
        add(deletion);
        deletions.put(id, deletion);
    }

    private Position nextPosition(Revision at) {
        sequence++;
        return new Position(at, sequence);
    }

    private void add(IndexEntry entry) {
        byId.put(entry.id(), entry);
        all.put(entry.position(), entry);
        byService
                .computeIfAbsent(entry.id().service(), service -> new TreeMap<>())
                .put(entry.position(), entry);
    }

    private void remove(ResourceId id) {
        IndexEntry entry = byId.remove(id);
        if (entry == null) {
            return;
        }
        deletions.remove(id);
        all.remove(entry.position());
        NavigableMap<Position, IndexEntry> service = byService.get(id.service());
        service.remove(entry.position());
        if (service.isEmpty()) {
            byService.remove(id.service());
        }
    }

    private void discardOldDeletions() {
        while (deletions.size() > retainedDeletions) {
            IndexEntry oldest = deletions.values().iterator().next();
            horizon = Collections.max(List.of(horizon, oldest.position()));
            remove(oldest.id());
        }
    }
}
