package loadbalancer.policy.data;

/**
 * Hashing of integers with good dispersion. The results are the same on every balancer, so that
 * rankings agree.
 */
public final class HashMixer {
    /** 2^64 divided by the golden ratio: separates neighbouring inputs. */
    private static final long GOLDEN_RATIO_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private HashMixer() {}

    /**
     * The finalizer of SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number
     * generators).
     */
    public static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    /**
     * Returns the score of a pair in rendezvous hashing; {@code mixedSalt} is a result of {@link
     * #mix}.
     */
    public static long pairScore(int hash, long mixedSalt) {
        return mix(hash * GOLDEN_RATIO_MULTIPLIER ^ mixedSalt);
    }

    /** Maps a hash to a number above 0 and below 1. */
    public static double toUnitInterval(long hash) {
        return ((hash >>> 11) + 0.5) * 0x1.0p-53;
    }
}
