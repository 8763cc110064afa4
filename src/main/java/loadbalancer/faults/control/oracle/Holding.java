package loadbalancer.faults.control.oracle;

import java.util.List;
import java.util.Set;

/**
 * What somebody has in force.
 *
 * @param holder its name
 * @param scope the services that it wants; empty for all
 * @param revision in force there
 * @param resources all that it holds
 */
public record Holding(
        String holder, Set<String> scope, ModelRevision revision, List<ModelResource> resources) {}
