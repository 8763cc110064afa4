package loadbalancer.fleet.membership;

/**
 * One balancer as the fleet knows it. Both processes of a hand-over are one member.
 *
 * @param name from the operator's file, 1 to 64 printable characters
 * @param address of its datagrams, {@code host:port}
 * @param zone from the settings, may be empty
 * @param incarnation rises with each refutation, and over restarts; 0 or more
 * @param bootId drawn at random by each process: two at a time under one name are two machines
 */
public record Member(
        String name, String address, String zone, long incarnation, long bootId, Health health) {
    /** This member with another incarnation and health. */
    public Member with(long nextIncarnation, Health nextHealth) {
        return new Member(name, address, zone, nextIncarnation, bootId, nextHealth);
    }
}
