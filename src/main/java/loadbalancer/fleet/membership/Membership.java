package loadbalancer.fleet.membership;

import java.util.Collection;

/** The members of the fleet as this one knows them. Read only, on the fleet's thread. */
public interface Membership {
    /** This member. */
    Member self();

    /** All members that are known and not yet forgotten, this one and dead ones too. */
    Collection<Member> members();

    /** The member of that name; null if it is unknown. */
    Member member(String name);

    /** Whether two machines use that name: then neither is trusted in votes. */
    boolean hasNameConflict(String name);

    /** Lifeguard's local health score; 0 is healthy. */
    int localHealthScore();
}
