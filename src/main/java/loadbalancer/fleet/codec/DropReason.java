package loadbalancer.fleet.codec;

import java.util.Locale;

/** Why a datagram was dropped. */
public enum DropReason {
    /** More than {@link DatagramCodec#LONGEST} bytes. */
    OVERSIZED("longer than a datagram of the fleet may be"),
    /** Of a form that this program doesn't speak. */
    FOREIGN_VERSION("of another version of the wire"),
    /** Signed with neither of the keys. */
    UNKNOWN_KEY("signed with a key that is not set here"),
    /** The MAC doesn't fit. */
    FORGED("its MAC does not fit"),
    /** Signed well, and not understood. */
    MALFORMED("not understood"),
    /** Seen before. */
    REPLAYED("seen before"),
    /** Behind the window in which it could be told from one seen before. */
    TOO_OLD("too far behind its sender's last one"),
    /** This process's own, sent back to it. */
    REFLECTED("this process's own, come back");

    private final String reason;

    DropReason(String reason) {
        this.reason = reason;
    }

    /** In plain words, for one line of a log. */
    public String reason() {
        return reason;
    }

    /** For a figure's name. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
