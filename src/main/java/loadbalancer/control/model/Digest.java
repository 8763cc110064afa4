package loadbalancer.control.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A digest of a set of versioned resources: the sum, modulo 2^64, of the XXH3 hash of each one's
 * canonical JSON. Equal sets have equal digests in whatever order they were built; it protects
 * against defects and damage, not against an adversary.
 *
 * @param value all 64 bits
 */
public record Digest(long value) {
    /** Of nothing. */
    public static final Digest EMPTY = new Digest(0);

    private static final int HEX_RADIX = 16;

    /**
     * Reads the form of {@link #toString}.
     *
     * @throws IllegalArgumentException on any other form
     */
    @JsonCreator
    public static Digest parse(String text) {
        return new Digest(Long.parseUnsignedLong(text, HEX_RADIX));
    }

    /** With one more resource of that hash. */
    public Digest plus(long hash) {
        return new Digest(value + hash);
    }

    /** Without a resource of that hash. */
    public Digest minus(long hash) {
        return new Digest(value - hash);
    }

    /** Sixteen hex digits. */
    @JsonValue
    @Override
    public String toString() {
        return String.format("%016x", value);
    }
}
