package loadbalancer.control.publish;

import loadbalancer.control.model.Digest;

/**
 * One part of an update in its encoded form.
 *
 * @param line the JSON of the part; shared between subscribers and never modified
 * @param reached the position of the last entry in the part
 * @param digest the digest of the scope in the last part of an update; null in all others
 */
record UpdateLine(byte[] line, Position reached, Digest digest) {
    /** Returns whether this is the last part of its update. */
    boolean isLast() {
        return digest != null;
    }
}
