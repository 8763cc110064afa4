package loadbalancer.policy.data;

/**
 * The message by which a balancer notifies a peer of its queue at an endpoint: three bytes with a
 * hash of the endpoint's id, then one byte with the queue length.
 */
public final class InFlightMessage {
    /** Length of a message in bytes. */
    public static final int BYTES = 4;

    /** Queue lengths are sent in eighths of a request; 31.9 requests is the maximum that fits. */
    public static final double PARTS_PER_REQUEST = 8;

    private static final int MAX_PARTS = 255;

    private InFlightMessage() {}

    /** The 24-bit hash that stands for an endpoint in messages. */
    public static int endpointHash(String endpointId) {
        return (int) HashMixer.mix(endpointId.hashCode()) & 0xFFFFFF;
    }

    /** Encodes a message; {@code queueLength} is in mean requests. */
    public static byte[] encode(int endpointHash, double queueLength) {
        byte parts = (byte) Math.min(MAX_PARTS, Math.round(queueLength * PARTS_PER_REQUEST));
        return new byte[] {
            (byte) (endpointHash >> 16), (byte) (endpointHash >> 8), (byte) endpointHash, parts
        };
    }

    /** The endpoint hash of a message. */
    public static int decodeEndpointHash(byte[] message) {
        return (message[0] & 255) << 16 | (message[1] & 255) << 8 | message[2] & 255;
    }

    /** The queue length of a message, in parts of a request ({@link #PARTS_PER_REQUEST}). */
    public static int decodeQueueParts(byte[] message) {
        return message[3] & 255;
    }
}
