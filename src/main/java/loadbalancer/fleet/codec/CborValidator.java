package loadbalancer.fleet.codec;

/**
 * Looks over CBOR (RFC 8949) before it is parsed: every length lies within the bytes that are
 * there, nothing nests deeper than the wire's own form, no length is left open, nothing is tagged.
 * So no parser behind it can be made to allocate by a length that is only claimed.
 */
final class CborValidator {
    /** The map, its list, an item, its values; and two for what a later program may add. */
    static final int DEEPEST = 6;

    private final byte[] bytes;
    private final int end;
    private int at;

    private CborValidator(byte[] bytes, int from, int end) {
        this.bytes = bytes;
        this.at = from;
        this.end = end;
    }

    /** Whether those bytes are one value of that form and nothing more. */
    static boolean fits(byte[] bytes, int from, int end) {
        CborValidator shape = new CborValidator(bytes, from, end);
        return shape.value(0) && shape.at == end;
    }

    private boolean value(int depth) {
        if (at >= end || depth > DEEPEST) {
            return false;
        }
        int head = bytes[at++] & 0xff;
        int type = head >> 5;
        long argument = argument(head & 31);
        if (at > end || (head & 31) > 27 || argument < 0 && type >= 2 && type <= 5) {
            return false;
        }
        switch (type) {
            case 0, 1, 7:
                return true;
            case 2, 3:
                if (argument > end - at) {
                    return false;
                }
                at += (int) argument;
                return true;
            case 4, 5:
                return values(type == 4 ? argument : argument * 2, depth + 1);
            default:
                return false;
        }
    }

    private boolean values(long count, int depth) {
        if (count > end - at) {
            return false;
        }
        for (long i = 0; i < count; i++) {
            if (!value(depth)) {
                return false;
            }
        }
        return true;
    }

    /** The argument of a head; -1 if it isn't there, left open or beyond any length. */
    private long argument(int low) {
        if (low < 24) {
            return low;
        }
        int length = 1 << (low - 24);
        if (low > 27 || length > end - at) {
            at = end + 1;
            return -1;
        }
        long argument = 0;
        for (int i = 0; i < length; i++) {
            argument = argument << 8 | bytes[at++] & 0xff;
        }
        return argument > Integer.MAX_VALUE ? -1 : argument;
    }
}
