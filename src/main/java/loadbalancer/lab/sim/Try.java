package loadbalancer.lab.sim;

import java.util.ArrayList;
import java.util.List;

/** One try of a client at one balancer: a request as the module sees it. */
final class Try {
    final Call call;
    final String id;
    final Gateway at;
    final int epoch;

    /** When the client gives this try up. */
    final long deadline;

    final List<Attempt> attempts = new ArrayList<>(1);

    /** Taken by a running balancer; from then on an answer is owed. */
    boolean taken;

    /** The balancer owes nothing any more. */
    boolean ended;

    /** The client waits no more for this try. */
    boolean closed;

    Try(Call call, String id, Gateway at, long deadline) {
        this.call = call;
        this.id = id;
        this.at = at;
        this.epoch = at.epoch();
        this.deadline = deadline;
    }
}
