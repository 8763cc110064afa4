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
 * Simulates a fleet in virtual time that runs only the membership protocol. Members are numbered
 * from 0, and the first three are the seeds. Records every false detection, in which a member
 * considers another dead whose process is alive. For one thread.
 */
public final class SwimSimulation {
    private static final int SEEDS = 3;
    private static final int ZONES = 3;
    private static final int MEMBERS_PER_SUBNET = 200;

    /** Number of members in one packet of the initial state of a converged fleet. */
    private static final int MEMBERS_PER_PACKET = 10;

    private static final long START_MICROS = 1_000_000;
    private static final long CONVERGE_MICROS = 5_000_000;
    private static final int CHECKS_PER_SECOND = 10;

    /** Numbers of packets and bytes that were sent so far. */
    public record Traffic(long packets, long bytes) {
        /** Returns the traffic since an earlier time. */
        public Traffic since(Traffic before) {
            return new Traffic(packets - before.packets, bytes - before.bytes);
        }
    }

    private final VirtualNetwork<Packet> network;
    private final int size;
    private final Set<String> falselyDead = new TreeSet<>();
    private final Set<String> suspendedDead = new TreeSet<>();
    private long falseDetections;
    private long suspendedDetections;

    /** Creates a fleet without a started member. */
    public SwimSimulation(long seed, int size) {
        this.network = new VirtualNetwork<>(seed, PacketSize::estimateBytes);
        this.size = size;
    }

    /** Creates a fleet whose members started within one second and know only the seeds. */
    public static SwimSimulation unjoined(long seed, int size) {
        SwimSimulation simulation = new SwimSimulation(seed, size);
        for (int i = 0; i < size; i++) {
            int number = i;
            simulation.network.schedule(i * START_MICROS / size, () -> simulation.start(number, 0));
        }
        simulation.network.run(START_MICROS);
        return simulation;
    }

    /** Creates a fleet whose members know each other, and runs it for a few probe intervals. */
    public static SwimSimulation converged(long seed, int size) {
        SwimSimulation simulation = new SwimSimulation(seed, size);
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            all.add(simulation.swimOf(simulation.start(i, 0)).self());
        }
        Origin from = new Origin("warm", "10.255.255.255:1", 1);
        SwimMessage transfer = new SwimMessage.Digest(0, 0, 0, false);
        for (VirtualProcess<Packet> process : simulation.network.processes()) {
            for (int i = 0; i < size; i += MEMBERS_PER_PACKET) {
                List<Member> part = all.subList(i, Math.min(size, i + MEMBERS_PER_PACKET));
                process.receive(new Packet(transfer, part), from);
            }
        }
        simulation.network.run(CONVERGE_MICROS);
        return simulation;
    }

    /** Starts or restarts a member's process with a stored incarnation, 0 if none. */
    public VirtualProcess<Packet> start(int number, long incarnation) {
        return startAt(number, address(number), incarnation);
    }

    /** Starts a process with a member's name at the given address. */
    public VirtualProcess<Packet> startAt(int number, String address, long incarnation) {
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(SEEDS, size); i++) {
            seeds.add(address(i));
        }
        String zone = "zone-" + number % ZONES;
        SwimSettings settings = SwimSettings.of(name(number), address, zone, seeds);
        return network.start(
                name(number),
                address,
                process -> new SwimMember(process, settings, incarnation, this::onMemberChanged));
    }

    /** Returns the network, which has the simulation's clock. */
    public VirtualNetwork<Packet> network() {
        return network;
    }

    /** Returns the name of a member. */
    public static String name(int number) {
        return String.format("balancer-%04d", number);
    }

    /** Returns the address of a member. */
    public static String address(int number) {
        int subnet = number / MEMBERS_PER_SUBNET;
        return "10.1." + subnet + '.' + (1 + number % MEMBERS_PER_SUBNET) + ":7400";
    }

    /** Returns the last process at a member's address. */
    public VirtualProcess<Packet> process(int number) {
        return network.processAt(address(number));
    }

    /** Returns the membership protocol of a member. */
    public Swim swim(int number) {
        return swimOf(process(number));
    }

    /** Returns the member that runs in a process. */
    public SwimMember memberOf(VirtualProcess<Packet> process) {
        return (SwimMember) process.member();
    }

    /** Returns the membership protocol that runs in a process. */
    public Swim swimOf(VirtualProcess<Packet> process) {
        return memberOf(process).swim();
    }

    /** Returns how many other running members know a member in a state that matches. */
    public int countObservers(int number, Predicate<Member> state) {
        int count = 0;
        for (VirtualProcess<Packet> process : network.running()) {
            Member known = swimOf(process).member(name(number));
            boolean isOther = !process.origin().name().equals(name(number));
            if (isOther && known != null && state.test(known)) {
                count++;
            }
        }
        return count;
    }

    /** Returns whether all running members consider exactly the running members alive. */
    public boolean hasConverged() {
        Set<String> running = new HashSet<>();
        network.running().forEach(process -> running.add(process.origin().name()));
        return network.running().stream()
                .allMatch(process -> aliveNames(swimOf(process)).equals(running));
    }

    private static Set<String> aliveNames(Swim swim) {
        Set<String> names = new HashSet<>();
        for (Member member : swim.members()) {
            if (member.health() == Health.ALIVE) {
                names.add(member.name());
            }
        }
        return names;
    }

    /** Runs until a condition holds; returns the seconds that this took, -1 beyond the limit. */
    public double runUntil(double limitSeconds, Predicate<SwimSimulation> condition) {
        for (int checks = 0; checks <= limitSeconds * CHECKS_PER_SECOND; checks++) {
            if (condition.test(this)) {
                return checks / (double) CHECKS_PER_SECOND;
            }
            network.run(1_000_000 / CHECKS_PER_SECOND);
        }
        return -1;
    }

    /** Returns the traffic that the last process at each address has sent so far. */
    public Traffic traffic() {
        long packets = 0;
        long bytes = 0;
        for (VirtualProcess<Packet> process : network.processes()) {
            packets += process.sentCount();
            bytes += process.sentBytes();
        }
        return new Traffic(packets, bytes);
    }

    private void onMemberChanged(VirtualProcess<Packet> observer, Member before, Member after) {
        if (after == null || after.health() != Health.DEAD) {
            return;
        }
        VirtualProcess<Packet> target = network.processAt(after.address());
        if (target != null && target.isRunning()) {
            falseDetections++;
            falselyDead.add(after.name());
        } else if (target != null && target.isSuspended()) {
            suspendedDetections++;
            suspendedDead.add(after.name());
        }
    }

    /** Returns how often a member considered a running member dead. */
    public long falseDetections() {
        return falseDetections;
    }

    /** Returns the names of the members that were considered dead while running. */
    public Set<String> falselyDead() {
        return falselyDead;
    }

    /** Returns how often a member considered a suspended member dead. */
    public long suspendedDetections() {
        return suspendedDetections;
    }

    /** Returns the names of the members that were considered dead while suspended. */
    public Set<String> suspendedDead() {
        return suspendedDead;
    }
}
