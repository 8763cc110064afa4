package loadbalancer.faults.fleet;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BiPredicate;

/**
 * The delay, loss, duplication, reordering and partitions that a {@link VirtualNetwork} applies to
 * datagrams. Probabilities are per datagram, times are microseconds. May be changed at any time on
 * the simulation's thread.
 */
public final class NetworkConditions {
    private long delayMicros = 200;
    private long jitterMicros = 300;
    private double lossProbability;
    private double duplicationProbability;
    private double reorderingProbability;
    private BiPredicate<String, String> isCut = (from, to) -> false;
    private final Set<String> cutPairs = new HashSet<>();

    /** Sets the delay of each datagram, and the maximum of the random delay added to it. */
    public void setDelay(long minMicros, long maxJitterMicros) {
        delayMicros = minMicros;
        jitterMicros = maxJitterMicros;
    }

    /** Sets the probabilities of loss, of duplication, and of a hundredfold additional delay. */
    public void setProbabilities(double loss, double duplication, double reordering) {
        lossProbability = loss;
        duplicationProbability = duplication;
        reorderingProbability = reordering;
    }

    /** Cuts or restores the connection from one address to another, in this direction only. */
    public void setCut(String from, String to, boolean cut) {
        if (cut) {
            cutPairs.add(from + ' ' + to);
        } else {
            cutPairs.remove(from + ' ' + to);
        }
    }

    /** Cuts all connections that match a predicate, which replaces the previous one. */
    public void cutWhere(BiPredicate<String, String> fromTo) {
        isCut = fromTo;
    }

    /** Cuts all connections between the addresses of a set and the others. */
    public void partition(Set<String> side) {
        cutWhere((from, to) -> side.contains(from) != side.contains(to));
    }

    /** Restores all connections; delays and probabilities stay. */
    public void heal() {
        cutPairs.clear();
        cutWhere((from, to) -> false);
    }

    long delayMicros() {
        return delayMicros;
    }

    long jitterMicros() {
        return jitterMicros;
    }

    double lossProbability() {
        return lossProbability;
    }

    double duplicationProbability() {
        return duplicationProbability;
    }

    double reorderingProbability() {
        return reorderingProbability;
    }

    boolean isConnected(String from, String to) {
        return !isCut.test(from, to) && (cutPairs.isEmpty() || !cutPairs.contains(from + ' ' + to));
    }
}
