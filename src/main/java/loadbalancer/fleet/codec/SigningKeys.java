package loadbalancer.fleet.codec;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys for signing datagrams with HMAC-SHA-256 (RFC 2104). The first key signs and all keys
 * verify, so that a fleet can rotate its key without interruption. For one thread.
 */
public final class SigningKeys {
    /** The length of the hash, the minimum that RFC 2104, section 3 recommends. */
    public static final int MIN_KEY_BYTES = 32;

    /** Half of the hash, the minimum that RFC 2104, section 5 recommends. */
    static final int MAC_BYTES = 16;

    private static final int MAX_KEYS = 2;
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final String KEY_ID_ALGORITHM = "SHA-256";

    private final byte[] ids;
    private final Mac[] macs;

    /**
     * Creates a set of one or two keys.
     *
     * @param keys the key that signs, and optionally the previous one, which only verifies
     * @throws IllegalArgumentException if there are not one or two keys, or if one is shorter than
     *     {@link #MIN_KEY_BYTES}
     */
    public SigningKeys(byte[]... keys) {
        if (keys.length < 1 || keys.length > MAX_KEYS) {
            throw new IllegalArgumentException(
                    "fleet keys: expected one or two keys, got " + keys.length);
        }
        ids = new byte[keys.length];
        macs = new Mac[keys.length];
        for (int i = 0; i < keys.length; i++) {
            if (keys[i].length < MIN_KEY_BYTES) {
                throw new IllegalArgumentException(
                        "fleet keys: a key of "
                                + keys[i].length
                                + " bytes is below the minimum of 32");
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
            throw new IllegalStateException("this JVM does not provide " + MAC_ALGORITHM, e);
        }
    }

    private static byte keyId(byte[] key) {
        try {
            return MessageDigest.getInstance(KEY_ID_ALGORITHM).digest(key)[0];
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this JVM does not provide " + KEY_ID_ALGORITHM, e);
        }
    }

    /** Returns the ID of the signing key, one byte of its hash, which does not reveal the key. */
    byte signingKeyId() {
        return ids[0];
    }

    /** Computes the MAC of the bytes before {@code end} and writes it at {@code end}. */
    void sign(byte[] bytes, int end) {
        System.arraycopy(mac(macs[0], bytes, end), 0, bytes, end, MAC_BYTES);
    }

    /**
     * Verifies the MAC at {@code end}; returns null if it matches a key with that ID, else the
     * reason to drop the datagram.
     */
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
