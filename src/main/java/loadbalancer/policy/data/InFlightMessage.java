package loadbalancer.policy.data;

/**
 * The message by which a balancer notifies a peer of its queue at an endpoint. It consists of a
 * three-byte hash of the endpoint's id and one byte with the queue length.
 */
public final class InFlightMessage {
    /** Length of a message in bytes. */
    public static final int BYTES = 4;

    /**
     * Queue lengths are encoded in eighths of a request; the maximum that fits is 31.9 requests.
     */
    public static final double PARTS_PER_REQUEST = 8;

    private static final int MAX_PARTS = 255;

    private InFlightMessage() {}

    /** Returns the 24-bit hash that identifies an endpoint in messages. */
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

    /** Returns the endpoint hash of a message. */
    public static int decodeEndpointHash(byte[] message) {
        return (message[0] & 255) << 16 | (message[1] & 255) << 8 | message[2] & 255;
    }

    /** Returns the queue length of a message, in units of 1/{@link #PARTS_PER_REQUEST} request. */
    public static int decodeQueueParts(byte[] message) {
        return message[3] & 255;
    }
}
