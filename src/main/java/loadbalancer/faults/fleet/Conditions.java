package loadbalancer.faults.fleet;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BiPredicate;

/** What the network does to datagrams. Chances are of one datagram, times microseconds. */
public final class Conditions {
    private long delay = 200;
    private long jitter = 300;
    private double loss;
    private double duplication;
    private double reordering;
    private BiPredicate<String, String> cut = (from, to) -> false;
    private final Set<String> cutPairs = new HashSet<>();

    /** Each datagram takes the delay and up to as much as the jitter more. */
    public void delay(long least, long drawn) {
        delay = least;
        jitter = drawn;
    }

    /** Chances to be lost, to come twice, and to be held back by a hundred delays. */
    public void chances(double lost, double twice, double late) {
        loss = lost;
        duplication = twice;
        reordering = late;
    }

    /** Nothing gets through from one address to the other, or does again. */
    public void cut(String from, String to, boolean on) {
        if (on) {
            cutPairs.add(from + ' ' + to);
        } else {
            cutPairs.remove(from + ' ' + to);
        }
    }

    /** Nothing gets through where that says so, by addresses; in place of what was said before. */
    public void cutWhere(BiPredicate<String, String> fromTo) {
        cut = fromTo;
    }

    /** Only within the set and outside of it, not across its border. */
    public void partition(Set<String> side) {
        cutWhere((from, to) -> side.contains(from) != side.contains(to));
    }

    /** All cuts end; chances and delays stay. */
    public void heal() {
        cutPairs.clear();
        cutWhere((from, to) -> false);
    }

    long delay() {
        return delay;
    }

    long jitter() {
        return jitter;
    }

    double loss() {
        return loss;
    }

    double duplication() {
        return duplication;
    }

    double reordering() {
        return reordering;
    }

    boolean passes(String from, String to) {
        return !cut.test(from, to) && (cutPairs.isEmpty() || !cutPairs.contains(from + ' ' + to));
    }
}
