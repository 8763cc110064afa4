package loadbalancer.fleet.codec;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys for signing datagrams with HMAC-SHA-256 (RFC 2104): the first one signs, both verify, so
 * that a fleet can rotate its key without an interruption. For one thread.
 */
public final class SigningKeys {
    /** As many bytes as the hash has, RFC 2104 section 3. */
    public static final int MIN_KEY_BYTES = 32;

    /** Half of the hash, the minimum of RFC 2104 section 5. */
    static final int MAC_BYTES = 16;

    private static final int MAX_KEYS = 2;
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final String KEY_ID_ALGORITHM = "SHA-256";

    private final byte[] ids;
    private final Mac[] macs;

    /**
     * Uses one or two keys.
     *
     * @throws IllegalArgumentException if there are none or more, or one is shorter than {@link
     *     #MIN_KEY_BYTES}
     */
    public SigningKeys(byte[]... keys) {
        if (keys.length < 1 || keys.length > MAX_KEYS) {
            throw new IllegalArgumentException("one or two keys, got " + keys.length);
        }
        ids = new byte[keys.length];
        macs = new Mac[keys.length];
        for (int i = 0; i < keys.length; i++) {
            if (keys[i].length < MIN_KEY_BYTES) {
                throw new IllegalArgumentException(
                        "a key of " + keys[i].length + " bytes is too short");
            }
            macs[i] = createMac(keys[i]);
            ids[i] = keyId(keys[i]);
        }
    }

    private static Mac createMac(byte[] key) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(key, MAC_ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java has " + MAC_ALGORITHM, e);
        }
    }

    private static byte keyId(byte[] key) {
        try {
            return MessageDigest.getInstance(KEY_ID_ALGORITHM).digest(key)[0];
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has " + KEY_ID_ALGORITHM, e);
        }
    }

    /** Identifies the signing key to receivers; reveals nothing useful about the key itself. */
    byte signingKeyId() {
        return ids[0];
    }

    /** Writes the MAC of the bytes before {@code end} after them. */
    void sign(byte[] bytes, int end) {
        System.arraycopy(mac(macs[0], bytes, end), 0, bytes, end, MAC_BYTES);
    }

    /** Verifies the MAC after {@code end}; returns null if it matches a key of that ID. */
    DropReason verify(byte keyId, byte[] bytes, int end) {
        DropReason reason = DropReason.UNKNOWN_KEY;
        byte[] received = Arrays.copyOfRange(bytes, end, end + MAC_BYTES);
        for (int i = 0; i < ids.length; i++) {
            if (ids[i] == keyId) {
                byte[] expected = Arrays.copyOf(mac(macs[i], bytes, end), MAC_BYTES);
                if (MessageDigest.isEqual(expected, received)) {
                    return null;
                }
                reason = DropReason.FORGED;
            }
        }
        return reason;
    }

    private static byte[] mac(Mac mac, byte[] bytes, int end) {
        mac.update(bytes, 0, end);
        return mac.doFinal();
    }
}
