package loadbalancer.fleet.replication;

import java.util.List;
import java.util.Map;

/**
 * What must survive a crash of this member.
 *
 * @param incarnation the last one in which it published
 * @param durableDocuments topics and bodies of the documents that were published durably
 * @param flags those raised by members of the roster
 * @param records what subsystems stored for this member alone, by key
 */
public record DurableMemberState(
        long incarnation,
        Map<String, byte[]> durableDocuments,
        List<Item.Flag> flags,
        Map<String, byte[]> records) {}
