package loadbalancer.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Runs one member named {@code me} against scripted packets and records its output. Times are
 * microseconds.
 */
final class ScriptedSwim implements SwimOutput {
    static final long MILLISECOND = 1_000;

    /** Offset of the wall clock from the monotonic clock. */
    static final long WALL_OFFSET = 1_700_000_000_000_000L;

    static final int MAX_MEMBERS = 20;

    /** A packet that the member sent. */
    record Sent(String address, Packet packet) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<Member> changes = new ArrayList<>();
    private final List<String> notifications = new ArrayList<>();
    private long now = 5_000 * MILLISECOND;
    private final Swim swim =
            new Swim(
                    SwimSettings.of("me", "me:1", "z", List.of()).withMaxMembers(MAX_MEMBERS),
                    3,
                    42,
                    new SplittableRandom(1),
                    () -> WALL_OFFSET + now,
                    this);

    @Override
    public void send(String address, Packet packet) {
        sent.add(new Sent(address, packet));
    }

    @Override
    public void memberChanged(Member before, Member after) {
        changes.add(after);
    }

    @Override
    public void clockSampled(String member, long offsetMicros, long roundTripMicros) {
        notifications.add(member + ' ' + offsetMicros + ' ' + roundTripMicros);
    }

    @Override
    public void warn(String line) {
        notifications.add(line);
    }

    static Member member(String name, long incarnation, Health health) {
        return new Member(name, name + ":1", "", incarnation, name.hashCode(), health);
    }

    Swim swim() {
        return swim;
    }

    List<Sent> sent() {
        return sent;
    }

    List<Member> changes() {
        return changes;
    }

    List<String> notifications() {
        return notifications;
    }

    long now() {
        return now;
    }

    /** Advances the time without waking the member. */
    void skip(long micros) {
        now += micros;
    }

    /** Advances the time and wakes the member when its timers are due. */
    void run(long micros) {
        long end = now + micros;
        while (swim.nextWakeMicros() <= end) {
            now = Math.max(now, swim.nextWakeMicros());
            swim.wake(now);
        }
        now = end;
    }

    void receive(String from, SwimMessage message, Member... updates) {
        Packet packet = new Packet(message, List.of(updates));
        swim.received(now, packet, from, from + ":1", from.hashCode());
    }

    /** Returns the last packet sent with a message of that kind; null if there is none. */
    Sent last(Class<? extends SwimMessage> kind) {
        Sent last = null;
        for (Sent candidate : sent) {
            last = kind.isInstance(candidate.packet.message()) ? candidate : last;
        }
        return last;
    }

    /** Returns the last ping sent; null if there is none. */
    SwimMessage.Ping lastPing() {
        Sent last = last(SwimMessage.Ping.class);
        return last == null ? null : (SwimMessage.Ping) last.packet.message();
    }

    /** Starts the member with the peers a and b; returns its first ping of one of them. */
    SwimMessage.Ping startAndPing() {
        swim.start(now);
        receive(
                "a",
                new SwimMessage.Gossip(),
                member("a", 1, Health.ALIVE),
                member("b", 1, Health.ALIVE));
        while (lastPing() == null) {
            run(MILLISECOND);
        }
        return lastPing();
    }
}
