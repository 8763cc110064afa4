package loadbalancer.fleet.membership;

import java.util.Collection;

/** This member's view of the fleet. Read-only, for the fleet's thread. */
public interface Membership {
    /** Returns this member's own statement. */
    Member self();

    /** Returns all known members, including this one and dead ones that are not yet forgotten. */
    Collection<Member> members();

    /** Returns the member with that name; null if it is unknown. */
    Member member(String name);

    /** Returns whether two machines use that name, in which case neither may vote. */
    boolean hasNameConflict(String name);

    /** Returns Lifeguard's local health score, 0 (healthy) to 8. */
    int localHealthScore();
}
