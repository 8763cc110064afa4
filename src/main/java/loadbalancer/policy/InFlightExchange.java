package loadbalancer.policy;

import loadbalancer.policy.data.InFlightMessage;
import loadbalancer.policy.state.Endpoint;
import loadbalancer.policy.state.PolicyState;

/**
 * Tells the other balancers that use an upstream what we have in flight there, and hears it of
 * them.
 */
final class InFlightExchange {
    static void tell(PolicyState b, Endpoint up) {
        if (!b.terms.tells || !b.ups.has(up)) {
            return;
        }
        if (up.peerSync.sharers == null) {
            up.peerSync.sharers =
                    b.ups.sharers(
                            up,
                            Subsetting.size(b),
                            b.settings().balancerCount(),
                            b.settings().balancerIndex());
        }
        byte[] message = InFlightMessage.write(up.name, b.peers.units(up));
        up.peerSync.sharers.forEach(p -> b.out.sendToPeer(p, message));
    }

    /** A garbled or foreign message names no upstream that we know, and changes nothing. */
    static void heard(PolicyState b, long now, int from, byte[] body) {
        if (!b.terms.tells
                || body.length != InFlightMessage.BYTES
                || from < 0
                || from >= b.settings().balancerCount()) {
            return;
        }
        Endpoint up = b.ups.named(InFlightMessage.name(body));
        if (up != null) {
            b.peers.told(up, from, InFlightMessage.parts(body), now);
        }
    }
}
