package loadbalancer.capacity;

/** How long calls of one kind took, in nanoseconds of real time. */
final class CallTimes {
    private long calls;
    private long sum;
    private long longest;

    /** Runs it and counts its time. */
    void measure(Runnable call) {
        long before = System.nanoTime();
        call.run();
        add(System.nanoTime() - before);
    }

    /** Counts two calls as one. */
    void add(CallTimes one, CallTimes other) {
        add(one.sum + other.sum);
    }

    /** Counts a call that took so many nanoseconds. */
    void add(long took) {
        calls++;
        sum += took;
        longest = Math.max(longest, took);
    }

    /** Forgets what was counted so far. */
    void reset() {
        calls = 0;
        sum = 0;
        longest = 0;
    }

    long calls() {
        return calls;
    }

    double totalSeconds() {
        return sum / 1e9;
    }

    double meanMicros() {
        return sum / 1e3 / Math.max(1, calls);
    }

    double longestMillis() {
        return longest / 1e6;
    }
}
