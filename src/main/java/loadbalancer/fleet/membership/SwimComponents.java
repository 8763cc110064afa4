package loadbalancer.fleet.membership;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/** Creates and connects the components of one {@link Swim}. For its thread. */
final class SwimComponents {
    /**
     * Minimum number of probe intervals between refutations of another machine with the same name:
     * a refutation takes that long to spread by gossip.
     */
    private static final int REFUTATION_INTERVALS = 2;

    final LocalHealthMultiplier localHealth = new LocalHealthMultiplier();
    final UpdateQueue updates;
    final MemberTable table;
    final LocalMember localMember;
    final PacketAssembler packets;
    final Prober prober;
    final UpdateProcessor processor;
    final IndirectPingRelay pingRelay;
    final AntiEntropy antiEntropy;
    final Joiner joiner;

    SwimComponents(
            SwimSettings settings,
            Member self,
            RandomGenerator random,
            LongSupplier wallClockMicros,
            SwimOutput output) {
        updates = new UpdateQueue(settings.name());
        table = new MemberTable(settings.name(), settings.maxMembers());
        localMember =
                new LocalMember(
                        self, localHealth, REFUTATION_INTERVALS * settings.probeIntervalMicros());
        packets = new PacketAssembler(settings.address(), table, updates, output);
        prober = new Prober(settings, table, packets, localHealth, random, wallClockMicros);
        processor =
                new UpdateProcessor(settings, output, table, updates, localMember, prober::onJoin);
        pingRelay = new IndirectPingRelay(settings, table, packets, random, wallClockMicros);
        antiEntropy = new AntiEntropy(table, packets, random, output);
        joiner = new Joiner(settings, table, packets, antiEntropy, random, wallClockMicros);
        table.put(0, self);
    }
}
