package loadbalancer.schedule.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.SharedState;
import loadbalancer.schedule.agreement.InForce.State;
import loadbalancer.schedule.agreement.Statement.Held;
import loadbalancer.schedule.window.CalendarFile;
import loadbalancer.schedule.window.InvalidScheduleException;
import loadbalancer.schedule.window.Revision;

/**
 * Which revision counts. Each member says which ones its own file gave it; one that a majority of
 * the roster holds is agreed, for good, at whoever knows that. Of the agreed ones the highest
 * number counts whose instant has come. Members that miss the text get it from others and check it
 * by the agreed digest; then they say that they hold it too, so that it outlives the files. Nothing
 * gets into effect that was not in a majority's files at first, less as many as lie.
 */
public final class Agreement {
    /** What is stated. */
    static final String HOLDS = "calendar/holds";

    /** The text of a revision, for those that miss it. */
    static final String TEXT = "calendar/text";

    /** A flag each: the digest follows. */
    static final String REVOKED = "calendar/revoked/";

    /**
     * For so long a member that holds a due revision, and can't learn whether it is agreed, goes on
     * by the old one: a partition that heals by itself is mostly shorter, and an operator is there
     * by then if not.
     */
    public static final long LEASE = 600_000_000;

    /**
     * A majority seen so long ago is still held to be there: a few times the pace at which it is
     * counted.
     */
    private static final long SEEN = 10_000_000;

    /** The last files: the one in effect, the one to come, and one for a slip. */
    private static final int MOST_FILES = 3;

    /** Agreed at a time: the one in effect and three to come. */
    private static final int MOST_AGREED = 4;

    /** Members that offer a text: a liar among them may claim to and not do it. */
    private static final int OFFERERS = 3;

    private static final Comparator<Held> ORDER = Comparator.comparingLong(Held::number);

    private final SharedState shared;
    private final Consumer<String> lines;
    private final Votes votes;
    private final List<Held> own = new ArrayList<>(); // highest number first
    private final Map<String, Revision> texts = new HashMap<>();
    private final Set<String> unreadable = new TreeSet<>();
    private final TreeMap<Long, Held> agreed = new TreeMap<>();
    private long majoritySeenAt;
    private String offered = "";
    private Statement stated = new Statement(List.of());

    /** At a member that starts now. */
    public Agreement(long now, SharedState shared, Consumer<String> lines) {
        this.shared = shared;
        this.lines = lines;
        this.votes = new Votes(shared, lines);
        this.majoritySeenAt = now;
    }

    /** The operators' file was read. Returns why it is not taken, empty if it is. */
    public String hold(long now, Revision file) {
        Held next = new Held(file.number(), file.from(), file.digest());
        if (own.contains(next)) {
            return "";
        }
        Held known = agreed.get(file.number());
        if (known != null && !known.equals(next)
                || own.stream().anyMatch(h -> h.number() == next.number())) {
            return "revision "
                    + file.number()
                    + " is known with other content; a change needs a higher number";
        }
        if (!own.isEmpty() && own.get(0).number() > file.number()) {
            return "revision "
                    + file.number()
                    + " is older than "
                    + own.get(0).number()
                    + ", read before";
        }
        own.add(0, next);
        while (own.size() > MOST_FILES) {
            own.remove(own.size() - 1);
        }
        texts.put(next.digest(), file);
        for (String digest : file.revokes()) {
            shared.raiseFlag(now, REVOKED + digest, ("revision " + file.number()).getBytes());
        }
        heard(now);
        return "";
    }

    /** Something was said about the calendar, or time has passed: counts anew. */
    public void heard(long now) {
        Map<String, Statement> said = votes.said(now, HOLDS, stated);
        if (shared.roster().stream().filter(this::isThere).count() >= shared.majority()) {
            majoritySeenAt = now;
        }
        state(now);
        said.replace(shared.self(), stated);
        for (Held h : votes.agreed(said)) {
            agree(h);
        }
        votes.tellTwice(said, own);
        takeTexts(now);
        state(now);
        offer(now, said);
    }

    private boolean isThere(String member) {
        return shared.isEligibleVoter(member)
                && (member.equals(shared.self()) || shared.isAlive(member));
    }

    /** Two under one number can both have a majority only by a liar's votes: all choose alike. */
    private void agree(Held h) {
        agreed.merge(h.number(), h, (a, b) -> a.digest().compareTo(b.digest()) <= 0 ? a : b);
    }

    private void state(long now) {
        List<Held> holds = new ArrayList<>();
        agreed.values().stream().filter(h -> texts.containsKey(h.digest())).forEach(holds::add);
        own.stream().filter(h -> !agreed.containsKey(h.number())).forEach(holds::add);
        Statement next = new Statement(holds.stream().sorted(ORDER).limit(Statement.MOST).toList());
        if (!next.equals(stated)) {
            stated = next;
            shared.publish(now, HOLDS, next.bytes());
        }
    }

    private void takeTexts(long now) {
        Set<String> missing =
                agreed.values().stream()
                        .map(Held::digest)
                        .filter(d -> !texts.containsKey(d) && !unreadable.contains(d))
                        .collect(Collectors.toSet());
        if (missing.isEmpty()) {
            return;
        }
        for (Document d : shared.documents(now, TEXT).values()) {
            String digest = CalendarFile.digest(d.body());
            if (missing.remove(digest)) {
                take(d.body(), digest);
            }
        }
    }

    private void take(byte[] text, String digest) {
        try {
            texts.put(digest, CalendarFile.parse("calendar from the fleet", text));
        } catch (InvalidScheduleException e) {
            unreadable.add(digest);
            lines.accept(e.getMessage() + "; factors are neutral while it is in effect");
        }
    }

    /** The first few by name that have a text offer it, as long as one that is alive misses it. */
    private void offer(long now, Map<String, Statement> said) {
        String next = "";
        for (Held h : agreed.descendingMap().values()) {
            List<String> having =
                    said.entrySet().stream()
                            .filter(e -> e.getValue().holds().contains(h))
                            .map(Map.Entry::getKey)
                            .filter(m -> m.equals(shared.self()) || shared.isAlive(m))
                            .sorted()
                            .limit(OFFERERS)
                            .toList();
            boolean missed =
                    shared.roster().stream()
                            .anyMatch(
                                    m ->
                                            shared.isAlive(m)
                                                    && (!said.containsKey(m)
                                                            || !said.get(m).holds().contains(h)));
            if (missed && having.contains(shared.self())) {
                next = h.digest();
                break;
            }
        }
        if (!next.equals(offered)) {
            offered = next;
            shared.publish(now, TEXT, next.isEmpty() ? new byte[0] : texts.get(next).text());
        }
    }

    /** Whether a member that counts has raised the flag. */
    private boolean revoked(String digest) {
        return shared.flags(REVOKED + digest).keySet().stream().anyMatch(shared::isEligibleVoter);
    }

    /** What counts at that instant of the fleet's time. */
    public InForce at(long now, long instant) {
        Held current = null;
        long until = Long.MAX_VALUE;
        for (Held h : agreed.descendingMap().values()) {
            if (h.from() <= instant) {
                current = h;
                break;
            }
            until = Math.min(until, h.from());
        }
        prune(current);
        if (current == null) {
            return new InForce(State.NONE, 0, null, until);
        }
        if (revoked(current.digest())) {
            return new InForce(State.REVOKED, current.number(), null, until);
        }
        Revision revision = texts.get(current.digest());
        if (revision == null) {
            return new InForce(State.MISSING, current.number(), null, until);
        }
        return doubted(now, instant, new InForce(State.AGREED, current.number(), revision, until));
    }

    private InForce doubted(long now, long instant, InForce f) {
        for (Held h : own) {
            if (h.number() <= f.number() || agreed.containsKey(h.number()) || revoked(h.digest())) {
                continue;
            }
            if (h.from() > instant) {
                f = new InForce(f.state(), f.number(), f.revision(), Math.min(f.until(), h.from()));
                continue;
            }
            long unseen = now - majoritySeenAt;
            if (unseen < SEEN) {
                continue; // they are there, and do not hold it
            }
            long since = Math.min(instant - h.from(), unseen);
            if (since >= LEASE) {
                return new InForce(State.EXPIRED, f.number(), null, f.until());
            }
            f =
                    new InForce(
                            State.DOUBT,
                            f.number(),
                            f.revision(),
                            Math.min(f.until(), instant + LEASE - since));
        }
        return f;
    }

    /**
     * Forgets what is older than the one that counts, and of those to come all but the next few
     * numbers.
     */
    private void prune(Held current) {
        if (current != null) {
            agreed.headMap(current.number()).clear();
        }
        while (agreed.size() > MOST_AGREED) {
            agreed.remove(
                    agreed.firstKey().equals(current == null ? -1 : current.number())
                            ? agreed.higherKey(agreed.firstKey())
                            : agreed.firstKey());
        }
        texts.keySet()
                .removeIf(
                        d ->
                                own.stream().noneMatch(h -> h.digest().equals(d))
                                        && agreed.values().stream()
                                                .noneMatch(h -> h.digest().equals(d)));
        unreadable.removeIf(d -> agreed.values().stream().noneMatch(h -> h.digest().equals(d)));
    }

    /** Texts of what is agreed, to be kept over a restart. */
    public List<byte[]> agreedTexts() {
        return texts(agreed.values());
    }

    /** Texts of this member's own files, oldest first: votes that others may have counted. */
    public List<byte[]> ownTexts() {
        return texts(own.stream().sorted(ORDER).toList());
    }

    private List<byte[]> texts(Collection<Held> held) {
        return held.stream()
                .filter(h -> texts.containsKey(h.digest()))
                .map(h -> texts.get(h.digest()).text())
                .toList();
    }

    /** A text that was agreed before the restart: it still is. */
    public void recall(Revision r) {
        texts.put(r.digest(), r);
        agree(new Held(r.number(), r.from(), r.digest()));
    }

    /** Whether such an item concerns the calendar. */
    public static boolean concerns(Item item) {
        return item.topic().startsWith("calendar/");
    }
}
