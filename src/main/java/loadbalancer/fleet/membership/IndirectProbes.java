package loadbalancer.fleet.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/** Pings for others, whose own got no answer. */
final class IndirectProbes {
    /** Under way at once. In health there is hardly one; a flood is cut off there. */
    private static final int MOST = 64;

    private static final class Relay {
        private final String asker;
        private final Body.PingRequest request;
        private final long nackAt;
        private boolean nacked;

        Relay(String asker, Body.PingRequest request, long nackAt) {
            this.asker = asker;
            this.request = request;
            this.nackAt = nackAt;
        }
    }

    private final SwimSettings settings;
    private final MemberTable table;
    private final PacketAssembler mail;
    private final RandomGenerator random;
    private final LongSupplier wall;
    private final Map<Long, Relay> relays = new LinkedHashMap<>();

    IndirectProbes(
            SwimSettings settings,
            MemberTable table,
            PacketAssembler mail,
            RandomGenerator random,
            LongSupplier wall) {
        this.settings = settings;
        this.table = table;
        this.mail = mail;
        this.random = random;
        this.wall = wall;
    }

    void asked(long t, Body.PingRequest request, String asker) {
        if (relays.size() >= MOST || request.target() == null) {
            return;
        }
        // Only members are pinged: whoever asks must not choose addresses for us.
        Member target = table.get(request.target());
        if (target == null || request.target().equals(settings.name())) {
            return;
        }
        long nonce = random.nextLong();
        // Half of the time that the asker has left, so that the nack gets there in time.
        relays.put(nonce, new Relay(asker, request, t + settings.pingTimeout() / 2));
        mail.send(target.address(), new Body.Ping(nonce, target.name(), wall.getAsLong()));
    }

    void answered(Body.Ack ack) {
        Relay relay = relays.get(ack.nonce());
        if (relay != null && relay.request.target().equals(ack.about())) {
            relays.remove(ack.nonce());
            mail.send(
                    relay.asker,
                    new Body.Ack(
                            relay.request.nonce(),
                            ack.about(),
                            ack.pingSentAt(),
                            ack.receivedAt(),
                            ack.sentAt()));
        }
    }

    long next() {
        long next = Long.MAX_VALUE;
        for (Relay relay : relays.values()) {
            next = Math.min(next, due(relay));
        }
        return next;
    }

    private long due(Relay relay) {
        return relay.nacked ? relay.nackAt + settings.pingTimeout() : relay.nackAt;
    }

    void wake(long t) {
        Iterator<Relay> all = relays.values().iterator();
        while (all.hasNext()) {
            Relay relay = all.next();
            if (!relay.nacked && t >= relay.nackAt) {
                relay.nacked = true;
                mail.send(
                        relay.asker, new Body.Nack(relay.request.nonce(), relay.request.target()));
            }
            if (t >= relay.nackAt + settings.pingTimeout()) {
                all.remove();
            }
        }
    }
}
