package loadbalancer.fleet.membership;

import java.util.Collection;

/** Who belongs to the fleet, as this member knows it. Only looks. */
public interface Membership {
    /** This member. */
    Member self();

    /** All that were ever heard of and are not forgotten yet, this one too. */
    Collection<Member> members();

    /** The member of that name; null if it was never heard of. */
    Member member(String name);

    /** Whether two machines use that name: then neither is trusted in votes. */
    boolean contested(String name);

    /** Lifeguard's local health, 0 for well: how much this member doubts itself. */
    int doubt();
}
