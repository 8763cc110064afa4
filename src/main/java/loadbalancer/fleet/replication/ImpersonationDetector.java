package loadbalancer.fleet.replication;

import java.util.Arrays;
import java.util.function.Consumer;
import loadbalancer.fleet.replication.Item.Counters;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.fleet.replication.Item.Fragment;

/**
 * Detects items under this member's name that it did not publish. Counters other than heartbeats
 * can't be verified: an earlier incarnation may have reached higher values in the same window. For
 * the thread of {@link ReplicatedStore}; times are microseconds of its monotonic clock.
 */
final class ImpersonationDetector {
    /**
     * Minimum time between responses to forged items, so that an impersonator can't make this
     * member flood the fleet.
     */
    private static final long RESPONSE_INTERVAL_MICROS = 1_000_000;

    private static final long NONE = -1;

    private final String localName;
    private final Consumer<String> log;
    private long pendingIncarnation = NONE;
    private long nextResponseMicros = Long.MIN_VALUE;
    private boolean isLogged;

    ImpersonationDetector(String localName, Consumer<String> log) {
        this.localName = localName;
        this.log = log;
    }

    /** Checks a received item under the local name. */
    void check(Item item, MemberReplica local, long incarnation) {
        long forged = forgedIncarnation(item, local, incarnation);
        pendingIncarnation = Math.max(pendingIncarnation, forged);
        if (forged >= 0 && !isLogged) {
            isLogged = true;
            log.accept(
                    "fleet: another process publishes under this member's name "
                            + localName
                            + "; the votes of this name do not count until this member is"
                            + " restarted");
        }
    }

    /** Returns the incarnation that a forged item claims; {@link #NONE} if it may be genuine. */
    private static long forgedIncarnation(Item item, MemberReplica local, long incarnation) {
        if (item instanceof Document document && isForged(document, local, incarnation)) {
            return document.incarnation();
        }
        if (item instanceof Fragment fragment && isForged(fragment, local, incarnation)) {
            return fragment.incarnation();
        }
        if (item instanceof Counters counters
                && Heartbeat.isHeartbeat(counters)
                && isForgedHeartbeat(counters, local, incarnation)) {
            return counters.window();
        }
        return NONE;
    }

    private static boolean isForgedHeartbeat(
            Counters heartbeat, MemberReplica local, long incarnation) {
        return heartbeat.window() > incarnation
                || heartbeat.window() == incarnation
                        && Heartbeat.count(heartbeat) > local.heartbeatCount(incarnation);
    }

    private static boolean isForged(Document document, MemberReplica local, long incarnation) {
        Document own = local.document(document.topic());
        return isLater(document.incarnation(), document.version(), own, incarnation)
                || isSameVersion(document.incarnation(), document.version(), own, incarnation)
                        && !Arrays.equals(own.body(), document.body());
    }

    private static boolean isForged(Fragment fragment, MemberReplica local, long incarnation) {
        Document own = local.document(fragment.topic());
        return isLater(fragment.incarnation(), fragment.version(), own, incarnation)
                || isSameVersion(fragment.incarnation(), fragment.version(), own, incarnation)
                        && fragment.digest() != HashBuckets.digest(own.body());
    }

    private static boolean isLater(
            long claimedIncarnation, long claimedVersion, Document own, long incarnation) {
        return claimedIncarnation > incarnation
                || claimedIncarnation == incarnation
                        && (own == null
                                || own.incarnation() < incarnation
                                || claimedVersion > own.version());
    }

    private static boolean isSameVersion(
            long claimedIncarnation, long claimedVersion, Document own, long incarnation) {
        return claimedIncarnation == incarnation
                && own != null
                && own.incarnation() == incarnation
                && claimedVersion == own.version();
    }

    /** Returns the highest forged incarnation if a response is due, else a negative number. */
    long pollForgedIncarnation(long nowMicros) {
        if (pendingIncarnation < 0 || nowMicros < nextResponseMicros) {
            return NONE;
        }
        long forged = pendingIncarnation;
        pendingIncarnation = NONE;
        nextResponseMicros = nowMicros + RESPONSE_INTERVAL_MICROS;
        return forged;
    }

    /** Returns when a deferred response is due; {@link Long#MAX_VALUE} if there is none. */
    long nextWakeMicros() {
        return pendingIncarnation < 0 ? Long.MAX_VALUE : nextResponseMicros;
    }
}
