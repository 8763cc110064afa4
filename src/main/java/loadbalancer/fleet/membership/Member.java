package loadbalancer.fleet.membership;

/**
 * One balancer as the fleet knows it. A hand-over's two processes are one member.
 *
 * @param name as the operator's file has it, 1 to 64 printable characters
 * @param address where its datagrams go, {@code host:port}
 * @param zone as the settings name it, may be empty
 * @param incarnation rises whenever it refutes what is said of it, and over restarts; 0 or more
 * @param boot drawn at random by each process: two at one time under one name are two machines
 */
public record Member(
        String name, String address, String zone, long incarnation, long boot, Health health) {
    /** The same at that incarnation and in that health. */
    public Member with(long nextIncarnation, Health next) {
        return new Member(name, address, zone, nextIncarnation, boot, next);
    }
}
