package loadbalancer.fleet.membership;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Pings members on behalf of others whose own ping was not acknowledged (SWIM's ping-req), and
 * relays the ack or sends a nack (Lifeguard). For the thread of {@link Swim}; times are
 * microseconds of its monotonic clock.
 */
final class IndirectPingRelay {
    /** Bounds memory and traffic under a flood; a healthy fleet rarely relays more than one. */
    private static final int MAX_RELAYED_PINGS = 64;

    private static final class RelayedPing {
        private final String requesterAddress;
        private final SwimMessage.PingRequest request;
        private final long nackAtMicros;
        private boolean isNacked;

        RelayedPing(String requesterAddress, SwimMessage.PingRequest request, long nackAtMicros) {
            this.requesterAddress = requesterAddress;
            this.request = request;
            this.nackAtMicros = nackAtMicros;
        }
    }

    private final SwimSettings settings;
    private final MemberTable table;
    private final PacketAssembler packets;
    private final RandomGenerator random;
    private final LongSupplier wallClockMicros;
    private final Map<Long, RelayedPing> pingsByNonce = new LinkedHashMap<>();

    IndirectPingRelay(
            SwimSettings settings,
            MemberTable table,
            PacketAssembler packets,
            RandomGenerator random,
            LongSupplier wallClockMicros) {
        this.settings = settings;
        this.table = table;
        this.packets = packets;
        this.random = random;
        this.wallClockMicros = wallClockMicros;
    }

    void onPingRequest(long nowMicros, SwimMessage.PingRequest request, String requesterAddress) {
        if (pingsByNonce.size() >= MAX_RELAYED_PINGS || request.target() == null) {
            return;
        }
        // Only known members are pinged, so that a requester can't direct packets to any address.
        Member target = table.get(request.target());
        if (target == null || request.target().equals(settings.name())) {
            return;
        }
        long nonce = random.nextLong();
        // Half of the time left to the requester's probe, so that the nack arrives in time.
        long nackAtMicros = nowMicros + settings.probeTimeoutMicros() / 2;
        pingsByNonce.put(nonce, new RelayedPing(requesterAddress, request, nackAtMicros));
        packets.send(
                target.address(),
                new SwimMessage.Ping(nonce, target.name(), wallClockMicros.getAsLong()));
    }

    void onAck(SwimMessage.Ack ack) {
        RelayedPing ping = pingsByNonce.get(ack.nonce());
        if (ping != null && ping.request.target().equals(ack.target())) {
            pingsByNonce.remove(ack.nonce());
            packets.send(
                    ping.requesterAddress,
                    new SwimMessage.Ack(
                            ping.request.nonce(),
                            ack.target(),
                            ack.pingSentAtMicros(),
                            ack.receivedAtMicros(),
                            ack.sentAtMicros()));
        }
    }

    long nextWakeMicros() {
        long next = Long.MAX_VALUE;
        for (RelayedPing ping : pingsByNonce.values()) {
            next = Math.min(next, ping.isNacked ? expiryMicros(ping) : ping.nackAtMicros);
        }
        return next;
    }

    private long expiryMicros(RelayedPing ping) {
        return ping.nackAtMicros + settings.probeTimeoutMicros();
    }

    void wake(long nowMicros) {
        Iterator<RelayedPing> pings = pingsByNonce.values().iterator();
        while (pings.hasNext()) {
            RelayedPing ping = pings.next();
            if (!ping.isNacked && nowMicros >= ping.nackAtMicros) {
                ping.isNacked = true;
                packets.send(
                        ping.requesterAddress,
                        new SwimMessage.Nack(ping.request.nonce(), ping.request.target()));
            }
            if (nowMicros >= expiryMicros(ping)) {
                pings.remove();
            }
        }
    }
}
