package loadbalancer.lab.sim;

import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers: one stream for each concern, so that a change of one redraws none of the others.
 */
public final class Streams {
    private final long seed;

    /** All streams of one run come from its seed. */
    public Streams(long seed) {
        this.seed = seed;
    }

    /** The stream of a concern; asked twice, it begins anew. */
    public UniformRandomProvider of(String concern) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seedOf(concern));
    }

    /**
     * FNV-1a over the concern's name, then the finalizer of SplitMix64 (Steele, Lea, Flood 2014).
     */
    public long seedOf(String concern) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : concern.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b) * 0x100000001b3L;
        }
        long z = hash + seed * 0x9E3779B97F4A7C15L;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
