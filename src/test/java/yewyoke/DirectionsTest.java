package yewyoke;

import static com.tngtech.archunit.core.domain.JavaAccess.Predicates.targetOwner;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.simpleName;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.Map;

/** Which packages may know of which; arrows of import go downward only. */
@AnalyzeClasses(packages = "yewyoke", importOptions = ImportOption.DoNotIncludeTests.class)
class DirectionsTest {
    private static final String[] DECISIONS = {"yewyoke", "yewyoke.decide.."};
    private static final String[] TOOLS = {"yewyoke.cli..", "yewyoke.lab..", "yewyoke.faults..",
        "yewyoke.capacity.."};

    @ArchTest
    static final ArchRule DECISIONS_KNOW_NOTHING_ELSE = classes().that().resideInAnyPackage(DECISIONS)
            .should().onlyDependOnClassesThat().resideInAnyPackage("yewyoke", "yewyoke.decide..",
                    "java.lang..", "java.util..");

    @ArchTest
    static final ArchRule DECISIONS_ARE_REACHED_BY_THEIR_ENTRY = noClasses().that()
            .resideOutsideOfPackage("yewyoke.decide..").and().doNotHaveFullyQualifiedName("yewyoke.Balance")
            .should().dependOnClassesThat().resideInAPackage("yewyoke.decide..");

    @ArchTest
    static final ArchRule STATE_KNOWS_NO_DECISIONS = noClasses().that()
            .resideInAPackage("yewyoke.decide.state").should().dependOnClassesThat()
            .resideInAPackage("yewyoke.decide").orShould().dependOnClassesThat()
            .haveFullyQualifiedName("yewyoke.Balance").orShould().dependOnClassesThat()
            .haveFullyQualifiedName("yewyoke.Recall");

    @ArchTest
    static final ArchRule ARITHMETIC_KNOWS_ITSELF = classes().that()
            .resideInAPackage("yewyoke.decide.data").should().onlyDependOnClassesThat()
            .resideInAnyPackage("yewyoke.decide.data", "java.lang..", "java.util..");

    /** What a module keeps is touched by no other; the state object hands it round and writes it down. */
    @ArchTest
    static void eachModuleKeepsItsOwnState(JavaClasses all) {
        Map.of("ListState", "Listing", "WeightState", "Weights", "HealthState", "Health", "LimitState",
                "InFlightLimits", "ColdState", "ColdBudgets", "ProbingState", "Probing", "PeerSyncState",
                "PeerSync", "SweepState", "Sweep").forEach((state, owner) -> noClasses().that()
                        .resideOutsideOfPackage("yewyoke.decide.state").and().doNotHaveSimpleName(owner)
                        .should().dependOnClassesThat().haveNameMatching("yewyoke\\.decide\\.state\\." + state
                                + "(\\$.*)?").check(all));
    }

    @ArchTest
    static final ArchRule ONLY_TERMS_WRITES_THE_TERMS = noClasses().that().doNotHaveSimpleName("Terms")
            .should().setFieldWhere(targetOwner(simpleName("TermsState")));

    @ArchTest
    static final ArchRule SETTINGS_KNOW_THE_DECISIONS_AND_LOGGING = noClasses().that()
            .resideInAnyPackage("yewyoke.settings..", "yewyoke.logging..").should().dependOnClassesThat()
            .resideInAnyPackage("yewyoke.node..", "yewyoke.adapter..", "yewyoke.ops..", "yewyoke.transport..",
                    "yewyoke.exchange..", "yewyoke.http1..", "yewyoke.cli..", "yewyoke.lab..",
                    "yewyoke.faults..", "io.netty..");

    @ArchTest
    static final ArchRule THE_EXCHANGE_SPEAKS_NO_PROTOCOL = noClasses().that()
            .resideInAPackage("yewyoke.exchange..").should().dependOnClassesThat()
            .resideInAnyPackage("yewyoke.http1..", "yewyoke.node..", "yewyoke.ops..", "io.netty.handler..",
                    "io.netty.bootstrap..", "io.netty.channel.socket..");

    @ArchTest
    static final ArchRule STATE_KNOWS_THE_DECISIONS_ONLY = noClasses().that()
            .resideInAPackage("yewyoke.state..").should().dependOnClassesThat()
            .resideInAnyPackage("yewyoke.http1..", "yewyoke.node..", "yewyoke.ops..", "yewyoke.exchange..",
                    "yewyoke.transport..", "yewyoke.settings..", "io.netty..");

    @ArchTest
    static final ArchRule WHAT_THE_FLEET_SHARES_KNOWS_NO_BYTES = noClasses().that()
            .resideInAnyPackage("yewyoke.fleet.share..", "yewyoke.fleet.member..").should()
            .dependOnClassesThat().resideInAnyPackage("yewyoke.fleet", "yewyoke.fleet.wire..",
                    "yewyoke.fleet.link..", "com.fasterxml..");

    @ArchTest
    static final ArchRule ONLY_THE_LINK_OF_THE_FLEET_KNOWS_SOCKETS = noClasses().that()
            .resideInAPackage("yewyoke.fleet..").and().resideOutsideOfPackage("yewyoke.fleet.link..")
            .should().dependOnClassesThat().resideInAnyPackage("io.netty..", "java.net..",
                    "yewyoke.fleet.link..", "yewyoke.transport..", "yewyoke.node..", "yewyoke.settings..",
                    "yewyoke.exchange..", "yewyoke.http1..");

    @ArchTest
    static final ArchRule CONTROL_LOGIC_KNOWS_NO_SOCKETS_AND_NO_OTHER_SUBSYSTEM = noClasses().that()
            .resideInAPackage("yewyoke.control..").should().dependOnClassesThat()
            .resideInAnyPackage("io.netty..", "java.net..", "yewyoke.transport..", "yewyoke.node..",
                    "yewyoke.ops..", "yewyoke.exchange..", "yewyoke.http1..", "yewyoke.settings..",
                    "yewyoke.fleet..", "yewyoke.decide..", "yewyoke.rollout..", "yewyoke.calendar..",
                    "yewyoke.cli..", "yewyoke.lab..", "yewyoke.faults..");

    @ArchTest
    static final ArchRule THE_CONTROL_MODEL_KNOWS_NOTHING = classes().that()
            .resideInAPackage("yewyoke.control.model..").should().onlyDependOnClassesThat()
            .resideInAnyPackage("yewyoke.control.model..", "java.lang..", "java.util..", "java.io..",
                    "com.fasterxml..", "com.dynatrace..");

    @ArchTest
    static final ArchRule PUBLISHER_SUBSCRIBER_AND_STORE_KNOW_NOT_EACH_OTHER = noClasses().that()
            .resideInAPackage("yewyoke.control.publish..").should().dependOnClassesThat()
            .resideInAnyPackage("yewyoke.control.store..", "yewyoke.control.subscribe..");

    @ArchTest
    static final ArchRule THE_SUBSCRIBER_KNOWS_ONLY_THE_MODEL = noClasses().that()
            .resideInAPackage("yewyoke.control.subscribe..").should().dependOnClassesThat()
            .resideInAnyPackage("yewyoke.control.store..", "yewyoke.control.publish..");

    @ArchTest
    static final ArchRule FRONTS_KNOW_NO_BACKS = noClasses().that()
            .resideInAPackage("yewyoke.http1.client..").should().dependOnClassesThat()
            .resideInAnyPackage("yewyoke.http1.upstream..", "yewyoke.node..", "yewyoke.ops..");

    @ArchTest
    static final ArchRule BACKS_KNOW_NO_FRONTS = noClasses().that()
            .resideInAPackage("yewyoke.http1.upstream..").should().dependOnClassesThat()
            .resideInAnyPackage("yewyoke.http1.client..", "yewyoke.node..", "yewyoke.ops..");

    @ArchTest
    static final ArchRule ONLY_FRONTS_AND_BACKS_AND_CALLS_TO_DISCOVERY_SPEAK_HTTP = noClasses().that()
            .resideOutsideOfPackages("yewyoke.http1..").and()
            .doNotHaveFullyQualifiedName("yewyoke.node.DiscoveryCall").should().dependOnClassesThat()
            .resideInAPackage("io.netty.handler.codec.http..");

    @ArchTest
    static final ArchRule THE_ADAPTER_KNOWS_NO_SOCKETS = noClasses().that()
            .resideInAPackage("yewyoke.adapter..").should().dependOnClassesThat()
            .resideInAnyPackage("yewyoke.node..", "yewyoke.ops..", "yewyoke.transport..", "yewyoke.lab..",
                    "yewyoke.faults..", "yewyoke.cli..", "io.netty..");

    @ArchTest
    static final ArchRule SERVICE_KNOWS_NO_TOOLS = noClasses().that()
            .resideInAnyPackage("yewyoke.node..", "yewyoke.ops..", "yewyoke.transport..",
                    "yewyoke.exchange..", "yewyoke.http1..")
            .should().dependOnClassesThat().resideInAnyPackage(TOOLS);

    @ArchTest
    static final ArchRule ONLY_MAIN_STARTS_THE_ADAPTER = noClasses().that()
            .resideInAnyPackage("yewyoke.node..").and().doNotHaveSimpleName("Main")
            .should().dependOnClassesThat().resideInAPackage("yewyoke.adapter..");

    @ArchTest
    static final ArchRule THE_LABORATORY_KNOWS_NO_NETWORK = noClasses().that()
            .resideInAPackage("yewyoke.lab..").should().dependOnClassesThat()
            .resideInAnyPackage("yewyoke.node..", "yewyoke.adapter..", "yewyoke.ops..",
                    "yewyoke.transport..", "yewyoke.faults..", "io.netty..", "picocli..");

    @ArchTest
    static final ArchRule THE_CHECKERS_SHARE_NOTHING_WITH_THE_MODULE = noClasses().that()
            .haveSimpleName("RuleOracle").or().haveSimpleName("Oracle")
            .should().dependOnClassesThat().haveSimpleName("Balance");

    @ArchTest
    static final ArchRule THE_RIGS_CHECKS_AND_PEERS_SHARE_NOTHING_WITH_THE_PROGRAM = classes().that()
            .resideInAnyPackage("yewyoke.faults.process.check..", "yewyoke.faults.process.peer..")
            .should().onlyDependOnClassesThat().resideInAnyPackage("yewyoke.faults.process.check..",
                    "yewyoke.faults.process.peer..", "java..");

    @ArchTest
    static final ArchRule THE_ORACLE_OF_DISTRIBUTION_SHARES_NOTHING_WITH_THE_PROGRAM = classes().that()
            .resideInAPackage("yewyoke.faults.control.oracle..").should().onlyDependOnClassesThat()
            .resideInAnyPackage("yewyoke.faults.control.oracle..", "java..");

    /** The exceptions measure themselves in real time, and say so. */
    @ArchTest
    static final ArchRule TIME_IS_HANDED_IN = noClasses().that()
            .resideInAnyPackage("yewyoke", "yewyoke.decide..", "yewyoke.node..", "yewyoke.ops..",
                    "yewyoke.exchange..", "yewyoke.http1..", "yewyoke.adapter..", "yewyoke.fleet..",
                    "yewyoke.lab.sim..", "yewyoke.control..",
                    "yewyoke.faults..").and().doNotHaveFullyQualifiedName("yewyoke.node.Rehearsal").and()
            .doNotHaveFullyQualifiedName("yewyoke.lab.sim.Simulation").and()
            .doNotHaveFullyQualifiedName("yewyoke.faults.process.peer.RealTime").and()
            .doNotHaveFullyQualifiedName("yewyoke.lab.sim.Gateway")
            .should().callMethod(System.class, "nanoTime")
            .orShould().callMethod(System.class, "currentTimeMillis");

    @ArchTest
    static final ArchRule SOCKETS_ARE_HANDED_IN = noClasses().that()
            .resideInAnyPackage("yewyoke.node..", "yewyoke.ops..", "yewyoke.exchange..", "yewyoke.http1..")
            .should().dependOnClassesThat().areAssignableTo(NioSocketChannel.class);
}
