package loadbalancer.lab.sim;

/** An attempt's work at a server. */
final class Job implements Comparable<Job> {
    final Attempt attempt;
    final long number;
    final long arrivedAt;
    final double work;

    /** Where the server's clock of work stands when this job is done. */
    double finish;

    boolean running;
    boolean stopped;
    boolean failing;

    Job(Attempt attempt, long number, long arrivedAt, double work) {
        this.attempt = attempt;
        this.number = number;
        this.arrivedAt = arrivedAt;
        this.work = work;
    }

    @Override
    public int compareTo(Job other) {
        return finish != other.finish
                ? Double.compare(finish, other.finish)
                : Long.compare(number, other.number);
    }
}
