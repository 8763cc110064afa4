package loadbalancer.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Membership;

/** Members {@code m0}, {@code m1} and so on at addresses that are their names. */
public final class Company implements Membership {
    /** Names that two machines use. */
    public final Set<String> contested = new HashSet<>();

    /** Names of those that are held to be dead. */
    public final Set<String> dead = new HashSet<>();

    /** Of this process. */
    public long boot;

    private final String self;
    private final int size;

    /** So many, of which this is one. */
    public Company(String self, int size) {
        this.self = self;
        this.size = size;
    }

    /** Their names. */
    public static Set<String> names(int size) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < size; i++) {
            names.add("m" + i);
        }
        return names;
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
        return new Member(
                name, name, "", 1, boot, dead.contains(name) ? Health.DEAD : Health.ALIVE);
    }

    @Override
    public boolean contested(String name) {
        return contested.contains(name);
    }

    @Override
    public int doubt() {
        return 0;
    }
}
