package loadbalancer.fleet.codec;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys that a datagram may be signed with: the first signs, both are good for verifying, so
 * that a fleet can go from one to the next without a moment in which some don't understand others.
 * For one thread.
 */
public final class SigningKeys {
    /** Bytes of a key at least: as many as the hash has, RFC 2104 section 3. */
    public static final int SHORTEST = 32;

    /**
     * Bytes of a MAC as sent: half of HMAC-SHA-256, the least that RFC 2104 section 5 takes. A
     * blind try hits once in 2^128, and each datagram has 16 bytes more for items.
     */
    static final int MAC_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final byte[] ids;
    private final Mac[] macs;

    /** One or two keys of {@link #SHORTEST} bytes or more each. */
    public SigningKeys(byte[]... keys) {
        if (keys.length < 1 || keys.length > 2) {
            throw new IllegalArgumentException("one or two keys, got " + keys.length);
        }
        ids = new byte[keys.length];
        macs = new Mac[keys.length];
        try {
            for (int i = 0; i < keys.length; i++) {
                if (keys[i].length < SHORTEST) {
                    throw new IllegalArgumentException(
                            "a key of " + keys[i].length + " bytes is too short");
                }
                macs[i] = Mac.getInstance(ALGORITHM);
                macs[i].init(new SecretKeySpec(keys[i], ALGORITHM));
                ids[i] = MessageDigest.getInstance("SHA-256").digest(keys[i])[0];
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // every Java has these two
        }
    }

    /** By what a receiver finds the key that signs; tells nothing of use about the key itself. */
    byte id() {
        return ids[0];
    }

    /** Writes the MAC of the bytes before {@code end} there. */
    void sign(byte[] bytes, int end) {
        System.arraycopy(mac(macs[0], bytes, end), 0, bytes, end, MAC_BYTES);
    }

    /** Null if the MAC behind {@code end} fits one of the keys of that id. */
    DropReason verify(byte id, byte[] bytes, int end) {
        DropReason verdict = DropReason.UNKNOWN_KEY;
        byte[] sent = Arrays.copyOfRange(bytes, end, end + MAC_BYTES);
        for (int i = 0; i < ids.length; i++) {
            if (ids[i] == id) {
                if (MessageDigest.isEqual(
                        Arrays.copyOf(mac(macs[i], bytes, end), MAC_BYTES), sent)) {
                    return null;
                }
                verdict = DropReason.FORGED;
            }
        }
        return verdict;
    }

    private static byte[] mac(Mac mac, byte[] bytes, int end) {
        mac.update(bytes, 0, end);
        return mac.doFinal();
    }
}
