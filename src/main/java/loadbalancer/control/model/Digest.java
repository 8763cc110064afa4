package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A digest of a set of versioned resources: the sum, modulo 2^64, of the XXH3 hashes of their
 * canonical JSON. Equal sets have equal digests regardless of the order in which they were built.
 * The digest detects defects and corruption; it is not secure against an adversary.
 *
 * @param value the digest as 64 bits
 */
public record Digest(long value) {
    /** The digest of the empty set. */
    public static final Digest EMPTY = new Digest(0);

    private static final int HEX_RADIX = 16;

    /**
     * Parses a hexadecimal digest, as {@link #toString} formats it.
     *
     * @throws IllegalArgumentException if the text is not an unsigned 64-bit hexadecimal number
     */
    @JsonCreator
    public static Digest parse(String text) {
        return new Digest(Long.parseUnsignedLong(text, HEX_RADIX));
    }

    /** Returns the digest of this set with one more resource, given by its hash. */
    public Digest plus(long hash) {
        return new Digest(value + hash);
    }

    /** Returns the digest of this set without one of its resources, given by its hash. */
    public Digest minus(long hash) {
        return new Digest(value - hash);
    }

    /** Formats the digest as 16 hexadecimal digits. */
    @JsonValue
    @Override
    public String toString() {
        return String.format("%016x", value);
    }
}
