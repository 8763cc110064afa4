package loadbalancer.faults.fleet;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.membership.Swim;
import loadbalancer.fleet.membership.SwimOutput;
import loadbalancer.fleet.membership.SwimSettings;

/** Membership alone in a {@link VirtualProcess}, with a record of its notifications. */
public final class SwimMember implements VirtualMember<Packet> {
    /** Notified of each change, as by {@link SwimOutput#memberChanged}. */
    public interface Watcher {
        /** The state of a member has changed at that process. */
        void memberChanged(VirtualProcess<Packet> at, Member before, Member after);
    }

    /** One sample of another member's wall clock, in microseconds. */
    public record Sample(String member, long offsetMicros, long roundTripMicros) {}

    private final Swim swim;
    private final List<String> warnings = new ArrayList<>();
    private final List<Sample> samples = new ArrayList<>();

    /** Starts from an incarnation that was stored, or 0. */
    public SwimMember(
            VirtualProcess<Packet> process,
            SwimSettings settings,
            long incarnation,
            Watcher watcher) {
        swim =
                new Swim(
                        settings,
                        incarnation,
                        process.origin().bootId(),
                        process.random(),
                        process::wall,
                        new SwimOutput() {
                            @Override
                            public void send(String address, Packet packet) {
                                process.send(address, packet);
                            }

                            @Override
                            public void memberChanged(Member before, Member after) {
                                watcher.memberChanged(process, before, after);
                            }

                            @Override
                            public void clockSampled(
                                    String member, long offsetMicros, long roundTripMicros) {
                                samples.add(new Sample(member, offsetMicros, roundTripMicros));
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
        swim.received(now, packet, from.name(), from.address(), from.bootId());
    }

    @Override
    public void wake(long now) {
        swim.wake(now);
    }

    @Override
    public long nextWake() {
        return swim.nextWakeMicros();
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
