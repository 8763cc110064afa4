package loadbalancer.fleet.membership;

import java.util.Comparator;

/** Which of two statements on a member holds, and what a statement must be like at all. */
final class MemberRules {
    /**
     * By how much one statement may raise an incarnation. Members raise theirs by one at a time; a
     * liar that names the greatest number there is must not silence a member for ever.
     */
    static final long LEAP = 1L << 32;

    static final long MOST_INCARNATION = 1L << 62;
    private static final int LONGEST_NAME = 64;
    private static final int LONGEST_ADDRESS = 80;

    /** Incarnation, boot, health and what CBOR adds, rounded up. */
    private static final int BESIDE_TEXT = 32;

    /**
     * The later of two. Ties between two machines of one name fall to the greater boot, so that all
     * hold the same whatever came first.
     */
    static final Comparator<Member> LATER =
            Comparator.comparingLong(Member::incarnation)
                    .thenComparing(Member::health)
                    .thenComparingLong(Member::boot)
                    .thenComparing(Member::address)
                    .thenComparing(Member::zone);

    private MemberRules() {}

    /**
     * Whether a statement replaces the one that is held.
     *
     * @param own the member itself says so: when the two are an absurd distance apart its own word
     *     holds
     */
    static boolean replaces(Member said, Member held, boolean own) {
        if (Math.abs(said.incarnation() - held.incarnation()) > LEAP) {
            return own;
        }
        return LATER.compare(said, held) > 0;
    }

    static boolean valid(Member said) {
        return said != null
                && said.health() != null
                && said.incarnation() >= 0
                && said.incarnation() <= MOST_INCARNATION
                && validNames(said.name(), said.address(), said.zone());
    }

    static boolean validNames(String name, String address, String zone) {
        return printable(name, 1, LONGEST_NAME)
                && printable(zone, 0, LONGEST_NAME)
                && validAddress(address);
    }

    static boolean validAddress(String address) {
        return printable(address, 3, LONGEST_ADDRESS) && address.lastIndexOf(':') > 0;
    }

    private static boolean printable(String text, int least, int most) {
        return text != null
                && text.length() >= least
                && text.length() <= most
                && text.chars().noneMatch(Character::isISOControl);
    }

    /** Bytes on the wire, rather too many. */
    static int bytes(Member member) {
        return BESIDE_TEXT + bytes(member.name()) + bytes(member.address()) + bytes(member.zone());
    }

    private static int bytes(String text) {
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            bytes += text.charAt(i) < 0x80 ? 1 : 3;
        }
        return bytes;
    }
}
