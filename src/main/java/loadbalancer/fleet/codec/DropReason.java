package loadbalancer.fleet.codec;

import java.util.Locale;

/** Reason why a datagram was dropped. The names in lower case are used in metrics. */
public enum DropReason {
    /** The datagram has more than {@link DatagramCodec#MAX_DATAGRAM_BYTES} bytes. */
    OVERSIZED("longer than the maximum of 1200 bytes"),
    /** The datagram has a version of the wire format that this program does not support. */
    FOREIGN_VERSION("unsupported version of the wire format"),
    /** The datagram is signed with none of the configured keys. */
    UNKNOWN_KEY("signed with a key that is not configured here"),
    /** The datagram's MAC does not match its content. */
    FORGED("the MAC does not match"),
    /** The datagram is correctly signed, but can't be decoded. */
    MALFORMED("malformed"),
    /** The datagram was received before. */
    REPLAYED("received before"),
    /** The datagram's sequence number is below the replay window. */
    TOO_OLD("too far behind the sender's latest datagram"),
    /** The datagram was sent by this process itself. */
    REFLECTED("sent by this process itself");

    private final String description;

    DropReason(String description) {
        this.description = description;
    }

    /** Returns a description for log lines. */
    public String description() {
        return description;
    }

    /** Returns the name of this reason in metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
