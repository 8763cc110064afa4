package loadbalancer.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What is to be passed on, the last statement on each member. Each is sent a bounded number of
 * times that grows with the logarithm of the fleet (SWIM, section 4.1). Hearing from others what
 * one passes on counts a little as well (Demers and others 1987, rumours with feedback): then they
 * know.
 */
final class GossipQueue {
    /**
     * One more than memberlist's, for what feedback takes off: 15 times at 100 members, 20 at
     * 1,000.
     */
    private static final int SENDS = 5;

    /** Of the logarithm: one that has just started knows of a few only. */
    private static final int LEAST = 2;

    /**
     * What a sending weighs over hearing the same from another. When all know, each hears as often
     * as it sends; with equal weights a rumour ends so soon that one of 1,000 often never hears it.
     */
    private static final int WEIGHT = 8;

    private static final class Rumour implements Comparable<Rumour> {
        private final Member member;
        private final boolean own;
        private final long number;
        private int spent;

        Rumour(Member member, boolean own, long number) {
            this.member = member;
            this.own = own;
            this.number = number;
        }

        /** This member's own refutation must not wait behind accusations, nor those of others. */
        @Override
        public int compareTo(Rumour other) {
            if (own != other.own) {
                return own ? -1 : 1;
            }
            if (spent != other.spent) {
                return Integer.compare(spent, other.spent);
            }
            boolean lives = member.health() == Health.ALIVE;
            if (lives != (other.member.health() == Health.ALIVE)) {
                return lives ? -1 : 1;
            }
            return Long.compare(other.number, number);
        }
    }

    private final Map<String, Rumour> byName = new HashMap<>();
    private final TreeSet<Rumour> leastSent = new TreeSet<>();
    private final String self;
    private long count;

    GossipQueue(String self) {
        this.self = self;
    }

    /** Takes the place of what was to be passed on of that member. */
    void offer(Member member) {
        drop(member.name());
        Rumour rumour = new Rumour(member, member.name().equals(self), count++);
        byName.put(member.name(), rumour);
        leastSent.add(rumour);
    }

    void drop(String name) {
        Rumour old = byName.remove(name);
        if (old != null) {
            leastSent.remove(old);
        }
    }

    /** Another said just that. */
    void heard(Member member, int fleet) {
        Rumour rumour = byName.get(member.name());
        if (rumour != null && rumour.member.equals(member)) {
            count(rumour, 1, fleet);
        }
    }

    boolean isEmpty() {
        return byName.isEmpty();
    }

    /** What was sent least often, as far as it fits; none of the names left out. */
    List<Member> take(int most, int bytes, Set<String> without, int fleet) {
        List<Rumour> taken = new ArrayList<>(Math.min(most, byName.size()));
        int left = bytes;
        for (Rumour rumour : leastSent) {
            if (taken.size() >= most) {
                break;
            }
            int size = MemberRules.bytes(rumour.member);
            if (size <= left && !without.contains(rumour.member.name())) {
                taken.add(rumour);
                left -= size;
            }
        }
        List<Member> members = new ArrayList<>(taken.size());
        for (Rumour rumour : taken) {
            members.add(rumour.member);
            count(rumour, WEIGHT, fleet);
        }
        return members;
    }

    private void count(Rumour rumour, int weight, int fleet) {
        leastSent.remove(rumour);
        rumour.spent += weight;
        if (rumour.spent >= WEIGHT * sends(fleet)) {
            byName.remove(rumour.member.name());
        } else {
            leastSent.add(rumour);
        }
    }

    static int sends(int fleet) {
        return SENDS * Math.max(LEAST, (int) Math.ceil(Math.log10(fleet + 1.0)));
    }
}
