package loadbalancer.fleet.codec;

import java.util.Locale;

/** Why a datagram was dropped. The names in lower case are those of the metrics. */
public enum DropReason {
    /** More than {@link DatagramCodec#MAX_DATAGRAM_BYTES} bytes. */
    OVERSIZED("longer than a datagram of the fleet may be"),
    /** Of a version that this program does not support. */
    FOREIGN_VERSION("of another version of the wire format"),
    /** Signed with neither of the keys. */
    UNKNOWN_KEY("signed with a key that is not configured here"),
    /** The MAC does not match. */
    FORGED("its MAC does not match"),
    /** Correctly signed, but not of the expected form. */
    MALFORMED("malformed"),
    /** Received before. */
    REPLAYED("received before"),
    /** Behind the replay window. */
    TOO_OLD("too far behind its sender's latest one"),
    /** This process's own, sent back to it. */
    REFLECTED("sent by this process itself");

    private final String description;

    DropReason(String description) {
        this.description = description;
    }

    /** In plain words, for a log line. */
    public String description() {
        return description;
    }

    /** The name of this reason in metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
