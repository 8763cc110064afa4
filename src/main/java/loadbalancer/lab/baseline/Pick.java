package loadbalancer.lab.baseline;

import java.util.List;
import loadbalancer.RequestDescriptor;
import org.apache.commons.rng.UniformRandomProvider;

/** A balancing rule: one of several candidates for a request. */
interface Pick {
    /** {@code among} is never empty; null refuses the request. */
    Candidate pick(
            long now,
            RequestDescriptor request,
            List<Candidate> among,
            UniformRandomProvider random);

    /** An attempt was served in {@code took} microseconds. */
    default void served(long now, Candidate at, long took) {}
}
