package loadbalancer.fleet.membership;

/**
 * A statement about one balancer of the fleet. Both processes of a hand-over are one member.
 *
 * @param name the name from the operator's file, 1 to 64 printable characters
 * @param address where the member receives datagrams, {@code host:port}
 * @param zone the zone from the settings, may be empty
 * @param incarnation a number that rises with each refutation and each restart; 0 or more
 * @param bootId a random number of each process; two that alternate under one name are two machines
 * @param health the state that is stated
 */
public record Member(
        String name, String address, String zone, long incarnation, long bootId, Health health) {
    /** Returns a copy of this statement with another incarnation and health. */
    public Member with(long nextIncarnation, Health nextHealth) {
        return new Member(name, address, zone, nextIncarnation, bootId, nextHealth);
    }
}
