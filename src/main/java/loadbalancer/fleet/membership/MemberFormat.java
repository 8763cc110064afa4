package loadbalancer.fleet.membership;

/** Validates a member's fields and bounds its size on the wire. Stateless. */
final class MemberFormat {
    private static final int MAX_NAME_CHARS = 64;
    private static final int MIN_ADDRESS_CHARS = 3;
    private static final int MAX_ADDRESS_CHARS = 80;

    /** Encoded size of incarnation, boot ID, health and the CBOR heads, rounded up. */
    private static final int NON_TEXT_BYTES = 32;

    /** Maximum number of UTF-8 bytes of a {@code char} beyond ASCII. */
    private static final int MAX_CHAR_BYTES = 3;

    private MemberFormat() {}

    static boolean isValid(Member member) {
        return member != null
                && member.health() != null
                && member.incarnation() >= 0
                && member.incarnation() <= MemberPrecedence.MAX_INCARNATION
                && hasValidNames(member.name(), member.address(), member.zone());
    }

    static boolean hasValidNames(String name, String address, String zone) {
        return isPrintable(name, 1, MAX_NAME_CHARS)
                && isPrintable(zone, 0, MAX_NAME_CHARS)
                && isValidAddress(address);
    }

    static boolean isValidAddress(String address) {
        return isPrintable(address, MIN_ADDRESS_CHARS, MAX_ADDRESS_CHARS)
                && address.lastIndexOf(':') > 0;
    }

    private static boolean isPrintable(String text, int minChars, int maxChars) {
        return text != null
                && text.length() >= minChars
                && text.length() <= maxChars
                && text.chars().noneMatch(Character::isISOControl);
    }

    /** Returns an upper bound of a member's bytes on the wire. */
    static int encodedBytes(Member member) {
        return NON_TEXT_BYTES
                + textBytes(member.name())
                + textBytes(member.address())
                + textBytes(member.zone());
    }

    private static int textBytes(String text) {
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            bytes += text.charAt(i) < 0x80 ? 1 : MAX_CHAR_BYTES;
        }
        return bytes;
    }
}
