package loadbalancer.faults.control.oracle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import loadbalancer.faults.control.oracle.Violation.Rule;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DistributionOracleTest {
    private static final ModelRevision FIRST = new ModelRevision(1, 1);
    private static final ModelRevision SECOND = new ModelRevision(1, 2);
    private static final ModelResource OLD = new ModelResource("shop", "tenant a", FIRST, "old");
    private static final ModelResource NEW = new ModelResource("shop", "tenant a", SECOND, "new");
    private static final ModelResource OTHER =
            new ModelResource("bank", "tenant b", FIRST, "other");

    private final DistributionOracle oracle = new DistributionOracle(() -> 0);

    @BeforeEach
    void acceptTwoChanges() {
        oracle.submitted(new ModelChange(FIRST, List.of(OLD, OTHER), List.of()));
        oracle.accepted();
        oracle.submitted(new ModelChange(SECOND, List.of(NEW), List.of()));
        oracle.accepted();
    }

    private static Holding holding(ModelRevision revision, ModelResource... resources) {
        return new Holding("balancer", Set.of(), revision, List.of(resources));
    }

    private List<Rule> broken() {
        return oracle.violations().stream().map(Violation::rule).toList();
    }

    @Test
    void exactContentIsRightAtEachRevision() {
        oracle.putInForce(holding(FIRST, OLD, OTHER));
        oracle.putInForce(holding(SECOND, NEW, OTHER));
        oracle.putInForce(new Holding("part", Set.of("bank"), SECOND, List.of(OTHER)));
        assertEquals(List.of(), broken());
    }

    @Test
    void missingForeignAndStaleResourcesAreFound() {
        oracle.putInForce(holding(SECOND, NEW));
        oracle.putInForce(holding(SECOND, OLD, OTHER));
        oracle.putInForce(new Holding("part", Set.of("bank"), SECOND, List.of(NEW)));
        assertEquals(List.of(Rule.WRONG_CONTENT, Rule.WRONG_CONTENT, Rule.WRONG_CONTENT), broken());
    }

    @Test
    void aRevisionThatGoesBackOrIsUnknownIsFound() {
        oracle.putInForce(holding(SECOND, NEW, OTHER));
        oracle.putInForce(holding(FIRST, OLD, OTHER));
        oracle.putInForce(holding(new ModelRevision(1, 3), NEW, OTHER));
        assertEquals(List.of(Rule.REVISION_WENT_BACK, Rule.UNKNOWN_REVISION), broken());
    }

    @Test
    void anAcknowledgementOfWhatIsNotInForceIsFound() {
        oracle.putInForce(holding(FIRST, OLD, OTHER));
        oracle.acknowledged("balancer", FIRST);
        oracle.acknowledged("balancer", SECOND);
        assertEquals(List.of(Rule.ACKNOWLEDGED_NOT_IN_FORCE), broken());
    }

    @Test
    void aWriterThatLostWhatItAcceptedIsFound() {
        oracle.writerStarted(holding(FIRST, OLD, OTHER));
        assertEquals(List.of(Rule.ACCEPTED_CHANGE_LOST), broken());
    }

    @Test
    void anUndecidedChangeMayBeThereOrNot() {
        ModelRevision third = new ModelRevision(1, 3);
        List<ModelChange.ModelKey> deleted = List.of(new ModelChange.ModelKey("shop", "tenant a"));
        oracle.submitted(new ModelChange(third, List.of(), deleted));
        oracle.writerStarted(holding(new ModelRevision(2, 3), OTHER));
        oracle.submitted(new ModelChange(new ModelRevision(2, 4), List.of(OLD), List.of()));
        oracle.writerStarted(holding(new ModelRevision(3, 3), OTHER));
        assertEquals(List.of(), broken());
    }

    @Test
    void whoIsNotCurrentInTheEndIsFound() {
        oracle.checkCurrent(List.of(holding(FIRST, OLD, OTHER)));
        assertEquals(List.of(Rule.NOT_CURRENT_IN_TIME), broken());
    }
}
