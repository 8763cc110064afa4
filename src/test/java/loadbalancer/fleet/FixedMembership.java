package loadbalancer.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Membership;

/** A fixed membership of {@code m0}, {@code m1}..., whose addresses equal their names. */
public final class FixedMembership implements Membership {
    private final Set<String> conflictingNames = new HashSet<>();
    private final Set<String> deadNames = new HashSet<>();
    private final String self;
    private final int size;
    private long bootId;

    /** Creates a fleet of {@code size} members, of which {@code self} is the local one. */
    public FixedMembership(String self, int size) {
        this.self = self;
        this.size = size;
    }

    /** Returns the names of a fleet of that size. */
    public static Set<String> names(int size) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < size; i++) {
            names.add("m" + i);
        }
        return names;
    }

    /** Sets the boot ID of all members. */
    public void setBootId(long id) {
        bootId = id;
    }

    /** Returns the names that two machines use; a mutable set. */
    public Set<String> conflictingNames() {
        return conflictingNames;
    }

    /** Returns the names of dead members; a mutable set. */
    public Set<String> deadNames() {
        return deadNames;
    }

    @Override
    public Member self() {
        return member(self);
    }

    @Override
    public Collection<Member> members() {
        List<Member> members = new ArrayList<>();
        names(size).forEach(name -> members.add(member(name)));
        return members;
    }

    @Override
    public Member member(String name) {
        Health health = deadNames.contains(name) ? Health.DEAD : Health.ALIVE;
        return new Member(name, name, "", 1, bootId, health);
    }

    @Override
    public boolean hasNameConflict(String name) {
        return conflictingNames.contains(name);
    }

    @Override
    public int localHealthScore() {
        return 0;
    }
}
