package loadbalancer.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Handles received packets: applies their updates, sends a correction to a sender with an outdated
 * statement, and dispatches the message. For the thread of {@link Swim}; times are microseconds of
 * its monotonic clock, except for the wall-clock times in acks.
 */
final class PacketReceiver {
    /** Limit of updates read from one packet; later versions may send more than this one. */
    private static final int MAX_UPDATES_READ = 2 * PacketAssembler.MAX_UPDATES;

    /** The process that sent a packet. */
    record Sender(String name, String address, long bootId) {}

    private final String localName;
    private final SwimComponents components;
    private final LongSupplier wallClockMicros;
    private final SwimOutput output;

    PacketReceiver(
            String localName,
            SwimComponents components,
            LongSupplier wallClockMicros,
            SwimOutput output) {
        this.localName = localName;
        this.components = components;
        this.wallClockMicros = wallClockMicros;
        this.output = output;
    }

    /** Returns whether a packet is valid and comes from another process. */
    boolean isAcceptable(Packet packet, Sender sender) {
        return packet != null
                && packet.message() != null
                && sender.name() != null
                && sender.bootId() != components.localMember.member().bootId()
                && MemberFormat.isValidAddress(sender.address());
    }

    /** Handles a packet for which {@link #isAcceptable} returned true. */
    void receive(long nowMicros, Packet packet, Sender sender) {
        SwimMessage message = packet.message();
        Member aboutSender = null;
        boolean isAboutSelf = false;
        for (Member stated : readableUpdates(packet)) {
            components.processor.onUpdate(nowMicros, stated, sender.name(), isTransfer(message));
            if (MemberFormat.isValid(stated)) {
                aboutSender = sender.name().equals(stated.name()) ? stated : aboutSender;
                isAboutSelf |= localName.equals(stated.name());
            }
        }
        Member correction = correctionFor(sender);
        if (message instanceof SwimMessage.Ping ping) {
            onPing(ping, sender, correction, isAboutSelf);
        } else {
            if (correction != null
                    && aboutSender != null
                    && MemberPrecedence.BY_RECENCY.compare(correction, aboutSender) > 0) {
                components.packets.send(
                        sender.address(), new SwimMessage.Gossip(), List.of(correction));
            }
            dispatch(nowMicros, message, sender);
        }
    }

    private static List<Member> readableUpdates(Packet packet) {
        List<Member> updates = packet.updates();
        return updates == null
                ? List.of()
                : updates.subList(0, Math.min(MAX_UPDATES_READ, updates.size()));
    }

    /** Returns whether a message belongs to an anti-entropy transfer. */
    private static boolean isTransfer(SwimMessage message) {
        return message instanceof SwimMessage.Digest digest && !digest.replyRequested();
    }

    /** Returns the current statement about a sender if the sender must refute it, else null. */
    private Member correctionFor(Sender sender) {
        Member current = components.table.get(sender.name());
        boolean isOutdated =
                current != null
                        && !sender.name().equals(localName)
                        && (current.health() != Health.ALIVE
                                || current.bootId() != sender.bootId());
        return isOutdated ? current : null;
    }

    private void onPing(
            SwimMessage.Ping ping, Sender sender, Member correction, boolean isAboutSelf) {
        if (!localName.equals(ping.target())) {
            return;
        }
        List<Member> requiredUpdates = new ArrayList<>();
        if (correction != null) {
            requiredUpdates.add(correction);
        }
        if (isAboutSelf) {
            requiredUpdates.add(components.localMember.member());
        }
        long wallMicros = wallClockMicros.getAsLong();
        SwimMessage.Ack ack =
                new SwimMessage.Ack(
                        ping.nonce(), localName, ping.sentAtMicros(), wallMicros, wallMicros);
        components.packets.send(sender.address(), ack, requiredUpdates);
    }

    private void dispatch(long nowMicros, SwimMessage message, Sender sender) {
        if (message instanceof SwimMessage.Ack ack) {
            components.prober.onAck(nowMicros, ack, sender.name(), output);
            components.pingRelay.onAck(ack);
        } else if (message instanceof SwimMessage.Nack nack) {
            components.prober.onNack(nack.nonce(), sender.name());
            if (nack.nonce() == 0) {
                components.processor.confirmSuspicion(nack.target(), sender.name());
            }
        } else if (message instanceof SwimMessage.PingRequest request) {
            components.pingRelay.onPingRequest(nowMicros, request, sender.address());
        } else if (message instanceof SwimMessage.Digest digest) {
            components.antiEntropy.onDigest(digest, sender.address());
        }
    }
}
