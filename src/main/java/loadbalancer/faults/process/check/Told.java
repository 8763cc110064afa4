package loadbalancer.faults.process.check;

/** Discovery has written to a balancer's process how an upstream is. */
public record Told(int balancer, String upstream, boolean ready, long at) {}
