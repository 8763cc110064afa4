package loadbalancer.fleet.replication;

import java.util.List;
import java.util.Map;

/**
 * The state of this member that must survive a crash.
 *
 * @param incarnation the last incarnation in which this member published
 * @param durableDocuments bodies of the documents that were published durably, by topic
 * @param flags the flags that members of the roster raised
 * @param records the records that subsystems stored for this member alone, by key
 */
public record DurableMemberState(
        long incarnation,
        Map<String, byte[]> durableDocuments,
        List<Item.Flag> flags,
        Map<String, byte[]> records) {}
