package loadbalancer.faults.fleet;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.membership.Swim;
import loadbalancer.fleet.membership.SwimOutput;
import loadbalancer.fleet.membership.SwimSettings;

/** Membership alone in a {@link VirtualProcess}, and what it told. */
public final class SwimMember implements VirtualMember<Packet> {
    /** Told of each change, as {@link SwimOutput#changed}. */
    public interface Watcher {
        /** At that process a member is held otherwise. */
        void changed(VirtualProcess<Packet> at, Member before, Member after);
    }

    /** One sample of a clock. */
    public record Sample(String member, long offset, long roundTrip) {}

    private final Swim swim;
    private final List<String> warnings = new ArrayList<>();
    private final List<Sample> samples = new ArrayList<>();

    /** {@code incarnation} as a state folder had it, or 0. */
    public SwimMember(
            VirtualProcess<Packet> process,
            SwimSettings settings,
            long incarnation,
            Watcher watcher) {
        swim =
                new Swim(
                        settings,
                        incarnation,
                        process.origin().boot(),
                        process.random(),
                        process::wall,
                        new SwimOutput() {
                            @Override
                            public void send(String address, Packet packet) {
                                process.send(address, packet);
                            }

                            @Override
                            public void changed(Member before, Member after) {
                                watcher.changed(process, before, after);
                            }

                            @Override
                            public void timed(String member, long offset, long roundTrip) {
                                samples.add(new Sample(member, offset, roundTrip));
                            }

                            @Override
                            public void warn(String line) {
                                warnings.add(line);
                            }
                        });
    }

    /** The logic itself, to be looked at. */
    public Swim swim() {
        return swim;
    }

    /** Lines for the operators so far. */
    public List<String> warnings() {
        return warnings;
    }

    /** Samples of others' clocks so far. */
    public List<Sample> samples() {
        return samples;
    }

    @Override
    public void start(long now) {
        swim.start(now);
    }

    @Override
    public void received(long now, Packet packet, Origin from) {
        swim.received(now, packet, from.name(), from.address(), from.boot());
    }

    @Override
    public void wake(long now) {
        swim.wake(now);
    }

    @Override
    public long nextWake() {
        return swim.nextWake();
    }

    @Override
    public long incarnation() {
        return swim.self().incarnation();
    }

    @Override
    public void leave(long now) {
        swim.leave(now);
    }
}
