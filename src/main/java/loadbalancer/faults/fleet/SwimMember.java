package loadbalancer.faults.fleet;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.membership.Swim;
import loadbalancer.fleet.membership.SwimOutput;
import loadbalancer.fleet.membership.SwimSettings;

/** Runs {@link Swim} without replication in a {@link VirtualProcess} and records its output. */
public final class SwimMember implements VirtualMember<Packet> {
    /** Receives each change that {@link SwimOutput#memberChanged} reports. */
    public interface Watcher {
        /** Called when the state of a member has changed at the observing process. */
        void memberChanged(VirtualProcess<Packet> observer, Member before, Member after);
    }

    /** A sample of another member's wall clock, in microseconds. */
    public record Sample(String member, long offsetMicros, long roundTripMicros) {}

    private final Swim swim;
    private final List<String> warnings = new ArrayList<>();
    private final List<Sample> samples = new ArrayList<>();

    /**
     * Creates a member that is not started yet.
     *
     * @param incarnation the stored incarnation, 0 if none
     * @param watcher receives the changes of members' states
     */
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
                        process::wallMicros,
                        new RecordingOutput(process, watcher));
    }

    private final class RecordingOutput implements SwimOutput {
        private final VirtualProcess<Packet> process;
        private final Watcher watcher;

        RecordingOutput(VirtualProcess<Packet> process, Watcher watcher) {
            this.process = process;
            this.watcher = watcher;
        }

        @Override
        public void send(String address, Packet packet) {
            process.send(address, packet);
        }

        @Override
        public void memberChanged(Member before, Member after) {
            watcher.memberChanged(process, before, after);
        }

        @Override
        public void clockSampled(String member, long offsetMicros, long roundTripMicros) {
            samples.add(new Sample(member, offsetMicros, roundTripMicros));
        }

        @Override
        public void warn(String line) {
            warnings.add(line);
        }
    }

    /** Returns the membership protocol that runs in this process. */
    public Swim swim() {
        return swim;
    }

    /** Returns the warnings that were logged so far. */
    public List<String> warnings() {
        return warnings;
    }

    /** Returns the clock samples so far; a mutable list. */
    public List<Sample> samples() {
        return samples;
    }

    @Override
    public void start(long nowMicros) {
        swim.start(nowMicros);
    }

    @Override
    public void received(long nowMicros, Packet packet, Origin from) {
        swim.received(nowMicros, packet, from.name(), from.address(), from.bootId());
    }

    @Override
    public void wake(long nowMicros) {
        swim.wake(nowMicros);
    }

    @Override
    public long nextWakeMicros() {
        return swim.nextWakeMicros();
    }

    @Override
    public long incarnation() {
        return swim.self().incarnation();
    }

    @Override
    public void leave(long nowMicros) {
        swim.leave(nowMicros);
    }
}
