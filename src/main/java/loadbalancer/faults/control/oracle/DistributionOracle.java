package loadbalancer.faults.control.oracle;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import loadbalancer.faults.control.oracle.Violation.Rule;

/**
 * Holds every accepted change in a plain map and compares with it whatever processes have in force.
 * Shares no code with the program, and uses no digest.
 */
public final class DistributionOracle {
    /** Beyond that a run has failed anyway. */
    private static final int MOST_VIOLATIONS = 20;

    private final LongSupplier clock;
    private final TreeMap<ModelRevision, Contents> history = new TreeMap<>();
    private final Map<String, ModelRevision> inForce = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();
    private ModelRevision latest = ModelRevision.NONE;
    private ModelChange undecided;

    /** All resources at one revision, by service and key. */
    private record Contents(Map<String, Map<String, ModelResource>> services) {
        Contents with(ModelChange change) {
            Map<String, Map<String, ModelResource>> next = new HashMap<>(services);
            Map<String, Map<String, ModelResource>> copied = new HashMap<>();
            for (ModelChange.ModelKey key : change.delete()) {
                copy(next, copied, key.service()).remove(key.key());
            }
            for (ModelResource resource : change.put()) {
                copy(next, copied, resource.service()).put(resource.key(), resource);
            }
            next.values().removeIf(Map::isEmpty);
            return new Contents(next);
        }

        private static Map<String, ModelResource> copy(
                Map<String, Map<String, ModelResource>> next,
                Map<String, Map<String, ModelResource>> copied,
                String service) {
            return copied.computeIfAbsent(
                    service,
                    name -> {
                        Map<String, ModelResource> copy =
                                new HashMap<>(next.getOrDefault(name, Map.of()));
                        next.put(name, copy);
                        return copy;
                    });
        }

        int size(Set<String> scope) {
            int size = 0;
            for (Map.Entry<String, Map<String, ModelResource>> service : services.entrySet()) {
                if (scope.isEmpty() || scope.contains(service.getKey())) {
                    size += service.getValue().size();
                }
            }
            return size;
        }
    }

    /** Reads virtual time from the clock. */
    public DistributionOracle(LongSupplier clock) {
        this.clock = clock;
        history.put(ModelRevision.NONE, new Contents(Map.of()));
    }

    /** The revision of the last accepted change, or the beginning of the epoch behind it. */
    public ModelRevision latest() {
        return latest;
    }

    /** All promises that were broken so far. */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** Notes a broken promise that was found elsewhere. */
    public void report(Rule rule, String detail) {
        if (violations.size() < MOST_VIOLATIONS) {
            violations.add(new Violation(rule, clock.getAsLong(), detail));
        }
    }

    /** The writer is about to make a change durable; if it crashes, either outcome is right. */
    public void submitted(ModelChange change) {
        if (change.revision().compareTo(latest) <= 0) {
            report(
                    Rule.REVISION_WENT_BACK,
                    "the writer gives " + change.revision() + " after " + latest);
        }
        undecided = change;
    }

    /** The change that was submitted is durable, and its author was told so. */
    public void accepted() {
        history.put(undecided.revision(), history.get(latest).with(undecided));
        latest = undecided.revision();
        undecided = null;
    }

    /**
     * The writer has started and holds that; returns whether the undecided change was found in it.
     */
    public boolean writerStarted(Holding holding) {
        boolean found =
                undecided != null && holding.revision().number() == undecided.revision().number();
        if (found) {
            accepted();
        }
        undecided = null;
        ModelRevision start = holding.revision();
        if (start.number() != latest.number() || start.epoch() <= latest.epoch()) {
            report(Rule.ACCEPTED_CHANGE_LOST, "the writer starts at " + start + " after " + latest);
            return found;
        }
        history.put(start, history.get(latest));
        latest = start;
        compare(Rule.ACCEPTED_CHANGE_LOST, holding);
        return found;
    }

    /**
     * The writer's disk was lost and it was started from a backup: what was accepted since is given
     * up.
     */
    public void restoredFromBackup(ModelRevision backup) {
        undecided = null;
        latest = backup;
    }

    /** A process begins its life with what it has kept. */
    public void started(Holding holding) {
        inForce.put(holding.holder(), holding.revision());
        check(holding);
    }

    /** A process has an update in force. */
    public void putInForce(Holding holding) {
        ModelRevision before = inForce.put(holding.holder(), holding.revision());
        if (before != null && before.compareTo(holding.revision()) > 0) {
            report(
                    Rule.REVISION_WENT_BACK,
                    holding.holder() + " from " + before + " to " + holding.revision());
        }
        check(holding);
    }

    private void check(Holding holding) {
        if (!history.containsKey(holding.revision())) {
            report(
                    Rule.UNKNOWN_REVISION,
                    holding.holder() + " has " + holding.revision() + " in force");
            return;
        }
        compare(Rule.WRONG_CONTENT, holding);
    }

    private void compare(Rule rule, Holding holding) {
        Contents right = history.get(holding.revision());
        for (ModelResource held : holding.resources()) {
            ModelResource expected =
                    right.services().getOrDefault(held.service(), Map.of()).get(held.key());
            if (!holding.scope().isEmpty() && !holding.scope().contains(held.service())) {
                report(rule, holding.holder() + " holds " + held + " outside of its scope");
                return;
            }
            if (!held.equals(expected)) {
                report(
                        rule,
                        holding.holder()
                                + " at "
                                + holding.revision()
                                + " holds "
                                + held
                                + ", expected "
                                + expected);
                return;
            }
        }
        int expectedSize = right.size(holding.scope());
        if (holding.resources().size() != expectedSize) {
            report(
                    rule,
                    holding.holder()
                            + " at "
                            + holding.revision()
                            + " holds "
                            + holding.resources().size()
                            + " resources, expected "
                            + expectedSize);
        }
    }

    /** A process says that a revision is in force there. */
    public void acknowledged(String holder, ModelRevision revision) {
        ModelRevision now = inForce.getOrDefault(holder, ModelRevision.NONE);
        if (!now.equals(revision)) {
            report(
                    Rule.ACKNOWLEDGED_NOT_IN_FORCE,
                    holder + " says " + revision + ", in force is " + now);
        }
    }

    /** Whether that revision is the newest. */
    public boolean isCurrent(ModelRevision revision) {
        return revision.equals(latest);
    }

    /** The time for becoming current after the last fault is over: all of these have to be. */
    public void checkCurrent(List<Holding> holdings) {
        for (Holding holding : holdings) {
            if (!isCurrent(holding.revision())) {
                report(
                        Rule.NOT_CURRENT_IN_TIME,
                        holding.holder()
                                + " is at "
                                + holding.revision()
                                + ", the newest is "
                                + latest);
            }
            check(holding);
        }
    }
}
