package loadbalancer.fleet.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Packs what is sent: the body, what the receiver must hear, and rumours as far as they fit. */
final class PacketAssembler {
    /**
     * With {@link #MOST_BYTES}: a datagram of 1,200 bytes keeps room for body, MAC and some items.
     */
    static final int MOST_RUMOURS = 10;

    static final int MOST_BYTES = 700;

    private final String self;
    private final MemberTable table;
    private final GossipQueue rumours;
    private final SwimOutput out;

    PacketAssembler(String self, MemberTable table, GossipQueue rumours, SwimOutput out) {
        this.self = self;
        this.table = table;
        this.rumours = rumours;
        this.out = out;
    }

    void send(String address, Body body) {
        send(address, body, List.of());
    }

    /** {@code first} goes along in any case, as far as it fits. */
    void send(String address, Body body, List<Member> first) {
        if (address.equals(self)) {
            return;
        }
        List<Member> packed = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int left = MOST_BYTES;
        for (Member member : first) {
            int bytes = MemberRules.bytes(member);
            if (packed.size() < MOST_RUMOURS && bytes <= left && names.add(member.name())) {
                packed.add(member);
                left -= bytes;
            }
        }
        packed.addAll(rumours.take(MOST_RUMOURS - packed.size(), left, names, table.fleet()));
        out.send(address, new Packet(body, packed));
    }

    /** How many of these, from that place on, one packet takes; 1 at least if there is one. */
    static int fitting(List<Member> members, int from) {
        int left = MOST_BYTES;
        int to = from;
        while (to < members.size() && to - from < MOST_RUMOURS) {
            left -= MemberRules.bytes(members.get(to));
            if (left < 0 && to > from) {
                break;
            }
            to++;
        }
        return to - from;
    }
}
