package loadbalancer.fleet.replication;

import java.util.List;
import java.util.Map;

/**
 * What must outlive a crash of this member.
 *
 * @param generation the last one in which it spoke
 * @param pledges topics and bodies of the documents that it has pledged
 * @param flags those raised by members of the roster
 * @param notes what its parts keep for themselves
 */
public record DurableMemberState(
        long generation,
        Map<String, byte[]> pledges,
        List<Item.Flag> flags,
        Map<String, byte[]> notes) {}
