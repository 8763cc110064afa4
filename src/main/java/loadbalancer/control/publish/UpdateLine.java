package loadbalancer.control.publish;

import loadbalancer.control.model.Digest;

/**
 * One part of an update as it is sent.
 *
 * @param line its JSON; shared between subscribers, never changed
 * @param reached behind the last entry in it
 * @param digest of the scope if it is the last of its update; null in all others
 */
record UpdateLine(byte[] line, Position reached, Digest digest) {
    /** Whether it completes its update. */
    boolean isLast() {
        return digest != null;
    }
}
