package loadbalancer.fleet.codec;

/**
 * Validates the structure of CBOR (RFC 8949) before it is parsed: no length exceeds the input,
 * nesting is bounded, there are no indefinite lengths and no tags. This prevents the parser from
 * allocating memory for a claimed length. For one validation on one thread.
 */
final class CborValidator {
    /** The wire format uses four levels; two are reserved for later versions. */
    static final int MAX_DEPTH = 6;

    private static final int TYPE_SHIFT = 5;
    private static final int ARGUMENT_MASK = 31;

    // Major types, RFC 8949 section 3.1.
    private static final int UNSIGNED = 0;
    private static final int NEGATIVE = 1;
    private static final int BYTES = 2;
    private static final int TEXT = 3;
    private static final int ARRAY = 4;
    private static final int MAP = 5;
    private static final int SIMPLE = 7;

    /**
     * A smaller argument is part of the head itself; from this value to {@link
     * #LAST_ARGUMENT_LENGTH} the argument is in the following 1 to 8 bytes.
     */
    private static final int FIRST_ARGUMENT_LENGTH = 24;

    private static final int LAST_ARGUMENT_LENGTH = 27;

    private final byte[] bytes;
    private final int end;
    private int position;

    private CborValidator(byte[] bytes, int from, int end) {
        this.bytes = bytes;
        this.position = from;
        this.end = end;
    }

    /** Returns whether the bytes are exactly one valid value. */
    static boolean isValid(byte[] bytes, int from, int end) {
        CborValidator validator = new CborValidator(bytes, from, end);
        return validator.skipValue(0) && validator.position == end;
    }

    private boolean skipValue(int depth) {
        if (position >= end || depth > MAX_DEPTH) {
            return false;
        }
        int head = bytes[position++] & 0xff;
        int type = head >> TYPE_SHIFT;
        int argumentInfo = head & ARGUMENT_MASK;
        long argument = readArgument(argumentInfo);
        boolean isLength = type >= BYTES && type <= MAP;
        if (position > end || argumentInfo > LAST_ARGUMENT_LENGTH || argument < 0 && isLength) {
            return false;
        }
        switch (type) {
            case UNSIGNED, NEGATIVE, SIMPLE:
                return true;
            case BYTES, TEXT:
                if (argument > end - position) {
                    return false;
                }
                position += (int) argument;
                return true;
            case ARRAY:
                return skipValues(argument, depth + 1);
            case MAP:
                return skipValues(argument * 2, depth + 1);
            default:
                return false;
        }
    }

    private boolean skipValues(long count, int depth) {
        if (count > end - position) {
            return false;
        }
        for (long i = 0; i < count; i++) {
            if (!skipValue(depth)) {
                return false;
            }
        }
        return true;
    }

    /** Reads the argument of a head; -1 if it is missing, indefinite or exceeds an int. */
    private long readArgument(int argumentInfo) {
        if (argumentInfo < FIRST_ARGUMENT_LENGTH) {
            return argumentInfo;
        }
        int length = 1 << (argumentInfo - FIRST_ARGUMENT_LENGTH);
        if (argumentInfo > LAST_ARGUMENT_LENGTH || length > end - position) {
            position = end + 1;
            return -1;
        }
        long argument = 0;
        for (int i = 0; i < length; i++) {
            argument = argument << Byte.SIZE | bytes[position++] & 0xff;
        }
        return argument > Integer.MAX_VALUE ? -1 : argument;
    }
}
