package loadbalancer.fleet.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Assembles outgoing packets from the message, the updates that its receiver needs, and as many
 * queued updates as fit. For the thread of {@link Swim}; independent of time.
 */
final class PacketAssembler {
    static final int MAX_UPDATES = 10;

    /** Leaves room for the message, the MAC and some items in a datagram of 1,200 bytes. */
    static final int MAX_UPDATE_BYTES = 700;

    private final String localAddress;
    private final MemberTable table;
    private final UpdateQueue updates;
    private final SwimOutput output;

    PacketAssembler(
            String localAddress, MemberTable table, UpdateQueue updates, SwimOutput output) {
        this.localAddress = localAddress;
        this.table = table;
        this.updates = updates;
        this.output = output;
    }

    void send(String address, SwimMessage message) {
        send(address, message, List.of());
    }

    /** Sends a message; {@code requiredUpdates} that fit take precedence over queued ones. */
    void send(String address, SwimMessage message, List<Member> requiredUpdates) {
        if (address.equals(localAddress)) {
            return;
        }
        List<Member> packed = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int bytesLeft = MAX_UPDATE_BYTES;
        for (Member member : requiredUpdates) {
            int bytes = MemberFormat.encodedBytes(member);
            if (packed.size() < MAX_UPDATES && bytes <= bytesLeft && names.add(member.name())) {
                packed.add(member);
                bytesLeft -= bytes;
            }
        }
        packed.addAll(
                updates.poll(MAX_UPDATES - packed.size(), bytesLeft, names, table.presentCount()));
        output.send(address, new Packet(message, packed));
    }

    /** Returns how many members from an index on fit into one packet; at least 1 if any is left. */
    static int countFitting(List<Member> members, int fromIndex) {
        int bytesLeft = MAX_UPDATE_BYTES;
        int end = fromIndex;
        while (end < members.size() && end - fromIndex < MAX_UPDATES) {
            bytesLeft -= MemberFormat.encodedBytes(members.get(end));
            if (bytesLeft < 0 && end > fromIndex) {
                break;
            }
            end++;
        }
        return end - fromIndex;
    }
}
