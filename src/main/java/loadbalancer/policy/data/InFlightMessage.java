package loadbalancer.policy.data;

/**
 * The bytes in which a balancer tells another what it has in flight: three name the upstream, one
 * counts.
 */
public final class InFlightMessage {
    /** Length of a message. */
    public static final int BYTES = 4;

    /** In-flight is counted in eighths, and 31.9 is the most that fits. */
    public static final double UNIT_PARTS = 8;

    private InFlightMessage() {}

    /** The number by which an upstream goes in messages. */
    public static int name(String id) {
        return (int) HashMixer.mix(id.hashCode()) & 0xFFFFFF;
    }

    /** A message. */
    public static byte[] write(int name, double units) {
        byte parts = (byte) Math.min(255, Math.round(units * UNIT_PARTS));
        return new byte[] {(byte) (name >> 16), (byte) (name >> 8), (byte) name, parts};
    }

    /** Which upstream it is about. */
    public static int name(byte[] message) {
        return (message[0] & 255) << 16 | (message[1] & 255) << 8 | message[2] & 255;
    }

    /** The in-flight it tells, in parts. */
    public static int parts(byte[] message) {
        return message[3] & 255;
    }
}
