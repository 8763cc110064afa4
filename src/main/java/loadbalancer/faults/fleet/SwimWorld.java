package loadbalancer.faults.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import loadbalancer.faults.fleet.VirtualMember.Origin;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.membership.Swim;
import loadbalancer.fleet.membership.SwimMessage;
import loadbalancer.fleet.membership.SwimSettings;

/**
 * A fleet of membership alone, numbered from 0, with the first three as seeds. Notes every time
 * that one member holds another for dead while that one's process is there.
 */
public final class SwimWorld {
    private static final int SEEDS = 3;

    /** Members in one packet of what a warm fleet knows beforehand. */
    private static final int CHUNK = 10;

    private final VirtualFleet<Packet> fleet;
    private final int members;
    private final Set<String> wronglyDead = new TreeSet<>();
    private final Set<String> stoppedDead = new TreeSet<>();
    private long wrongDeaths;
    private long stoppedDeaths;

    /** None is started. */
    public SwimWorld(long seed, int members) {
        this.fleet = new VirtualFleet<>(seed, PacketSize::of);
        this.members = members;
    }

    /** All started within one second, knowing the seeds only. */
    public static SwimWorld cold(long seed, int members) {
        SwimWorld world = new SwimWorld(seed, members);
        for (int i = 0; i < members; i++) {
            int number = i;
            world.fleet.in(i * 1_000_000L / members, () -> world.start(number, 0));
        }
        world.fleet.run(1_000_000);
        return world;
    }

    /** All started, each told of all as by a comparison with a seed, and a few periods gone by. */
    public static SwimWorld warm(long seed, int members) {
        SwimWorld world = new SwimWorld(seed, members);
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            all.add(world.swimOf(world.start(i, 0)).self());
        }
        Origin from = new Origin("warm", "10.255.255.255:1", 1);
        for (VirtualProcess<Packet> process : world.fleet.processes()) {
            for (int i = 0; i < members; i += CHUNK) {
                List<Member> chunk = all.subList(i, Math.min(members, i + CHUNK));
                process.arrive(new Packet(new SwimMessage.Digest(0, 0, 0, false), chunk), from);
            }
        }
        world.fleet.run(5_000_000);
        return world;
    }

    /** Starts that member, or its next process, with that incarnation kept; 0 for none. */
    public VirtualProcess<Packet> start(int number, long incarnation) {
        return startAt(number, address(number), incarnation);
    }

    /** Starts a process under that member's name at another address. */
    public VirtualProcess<Packet> startAt(int number, String address, long incarnation) {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(SEEDS, members); i++) {
            seeds.add(address(i));
        }
        SwimSettings settings = SwimSettings.of(name(number), address, "zone-" + number % 3, seeds);
        return fleet.start(
                name(number), address, p -> new SwimMember(p, settings, incarnation, this::note));
    }

    /** The network, its clock and its conditions. */
    public VirtualFleet<Packet> fleet() {
        return fleet;
    }

    /** The name of a number. */
    public static String name(int number) {
        return String.format("balancer-%04d", number);
    }

    /** The address of a number. */
    public static String address(int number) {
        return "10.1." + number / 200 + '.' + (1 + number % 200) + ":7400";
    }

    /** The process of a number. */
    public VirtualProcess<Packet> process(int number) {
        return fleet.at(address(number));
    }

    /** What it holds. */
    public Swim swim(int number) {
        return swimOf(process(number));
    }

    /** What runs in a process. */
    public SwimMember memberOf(VirtualProcess<Packet> process) {
        return (SwimMember) process.member();
    }

    /** The logic in a process. */
    public Swim swimOf(VirtualProcess<Packet> process) {
        return memberOf(process).swim();
    }

    /**
     * At how many of the running others the member is held so that it fits; one unknown never does.
     */
    public int holding(int number, Predicate<Member> how) {
        int count = 0;
        for (VirtualProcess<Packet> process : fleet.running()) {
            Member held = swimOf(process).member(name(number));
            if (!process.origin().name().equals(name(number)) && held != null && how.test(held)) {
                count++;
            }
        }
        return count;
    }

    /** Whether all running ones hold all running ones for alive. */
    public boolean agree() {
        Set<String> alive = new HashSet<>();
        fleet.running().forEach(p -> alive.add(p.origin().name()));
        for (VirtualProcess<Packet> process : fleet.running()) {
            Set<String> held = new HashSet<>();
            for (Member member : swimOf(process).members()) {
                if (member.health() == Health.ALIVE) {
                    held.add(member.name());
                }
            }
            if (!held.equals(alive)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Plays on until it is so, looking ten times a second; the seconds it took, or -1 after the
     * limit.
     */
    public double until(double limitSeconds, Predicate<SwimWorld> so) {
        for (int tenths = 0; tenths <= limitSeconds * 10; tenths++) {
            if (so.test(this)) {
                return tenths / 10.0;
            }
            fleet.run(100_000);
        }
        return -1;
    }

    /** Packets and bytes that the last process of each address has sent so far. */
    public long[] traffic() {
        long[] sums = new long[2];
        for (VirtualProcess<Packet> process : fleet.processes()) {
            sums[0] += process.sent();
            sums[1] += process.sentBytes();
        }
        return sums;
    }

    private void note(VirtualProcess<Packet> at, Member before, Member after) {
        if (after == null || after.health() != Health.DEAD) {
            return;
        }
        VirtualProcess<Packet> target = fleet.at(after.address());
        if (target != null && target.runs()) {
            wrongDeaths++;
            wronglyDead.add(after.name());
        } else if (target != null && target.isStopped()) {
            stoppedDeaths++;
            stoppedDead.add(after.name());
        }
    }

    /** How often one held another for dead that ran. */
    public long wrongDeaths() {
        return wrongDeaths;
    }

    /** Who was held for dead and ran. */
    public Set<String> wronglyDead() {
        return wronglyDead;
    }

    /** How often one held another for dead that was stopped at that time. */
    public long stoppedDeaths() {
        return stoppedDeaths;
    }

    /** Who was held for dead while it was stopped. */
    public Set<String> stoppedDead() {
        return stoppedDead;
    }
}
