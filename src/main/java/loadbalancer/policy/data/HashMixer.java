package loadbalancer.policy.data;

/**
 * Hashing of whole numbers that scatters well; the same everywhere, so that balancers agree untold.
 */
public final class HashMixer {
    private static final long GOLDEN =
            0x9E3779B97F4A7C15L; // 2^64 over the golden ratio: parts near ones

    private HashMixer() {}

    /**
     * The finaliser of SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number
     * generators).
     */
    public static long mix(long z) {
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    /** The score of a pair in rendezvous hashing; {@code salt} is mixed already. */
    public static long pair(int hash, long salt) {
        return mix(hash * GOLDEN ^ salt);
    }

    /** A hash as a number above 0 and below 1. */
    public static double unit(long hash) {
        return ((hash >>> 11) + 0.5) * 0x1.0p-53;
    }
}
