package loadbalancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static loadbalancer.ArchitectureNames.packages;
import static loadbalancer.ArchitectureNames.type;
import static loadbalancer.ArchitectureNames.withNested;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.Map;

/** Which packages may know of which; arrows of import go downward only. */
@AnalyzeClasses(packages = "loadbalancer", importOptions = ImportOption.DoNotIncludeTests.class)
class DirectionsTest {
    private static final String[] DECISIONS = packages("loadbalancer", "loadbalancer.policy..");
    private static final String[] TOOLS =
            packages(
                    "loadbalancer.cli..",
                    "loadbalancer.lab..",
                    "loadbalancer.faults..",
                    "loadbalancer.capacity..");

    @ArchTest
    static final ArchRule DECISIONS_KNOW_NOTHING_ELSE =
            classes()
                    .that()
                    .resideInAnyPackage(DECISIONS)
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer",
                                    "loadbalancer.policy..",
                                    "java.lang..",
                                    "java.util.."));

    @ArchTest
    static final ArchRule DECISIONS_ARE_REACHED_BY_THEIR_ENTRY =
            noClasses()
                    .that()
                    .resideOutsideOfPackages(packages("loadbalancer.policy.."))
                    .and()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.ReweightingLoadBalancer"))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(packages("loadbalancer.policy.."));

    @ArchTest
    static final ArchRule STATE_KNOWS_NO_DECISIONS =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.policy.state"))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(packages("loadbalancer.policy"))
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName(type("loadbalancer.ReweightingLoadBalancer"))
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName(type("loadbalancer.StateRestoration"));

    @ArchTest
    static final ArchRule ARITHMETIC_KNOWS_ITSELF =
            classes()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.policy.data"))
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(
                            packages("loadbalancer.policy.data", "java.lang..", "java.util.."));

    /** What a rule keeps of an endpoint is used by that rule alone. */
    @ArchTest
    static void eachRuleKeepsItsOwnState(JavaClasses all) {
        Map.of(
                        "EndpointTrustState",
                        "EndpointTrust",
                        "WeightState",
                        "UtilizationWeights",
                        "OutlierState",
                        "OutlierDetection",
                        "ConcurrencyLimitState",
                        "ConcurrencyLimits",
                        "SlowStartState",
                        "SlowStart",
                        "ProbingState",
                        "LoadProbing",
                        "BackgroundProbingState",
                        "BackgroundProbing",
                        "InFlightExchangeState",
                        "InFlightExchange")
                .forEach(
                        (state, owner) ->
                                noClasses()
                                        .that()
                                        .resideOutsideOfPackage("loadbalancer.policy.state")
                                        .and()
                                        .doNotHaveFullyQualifiedName(
                                                type("loadbalancer.policy." + owner))
                                        .should()
                                        .dependOnClassesThat()
                                        .haveNameMatching(
                                                withNested("loadbalancer.policy.state." + state))
                                        .check(all));
    }

    /** What a rule keeps beside its endpoints is its own: only the wiring shows its parts. */
    @ArchTest
    static final ArchRule STATE_OF_THE_POLICY_IS_PRIVATE =
            fields().that()
                    .areDeclaredInClassesThat()
                    .resideInAnyPackage(packages("loadbalancer.policy.."))
                    .and()
                    .areNotStatic()
                    .and()
                    .doNotHaveModifier(JavaModifier.SYNTHETIC)
                    .and()
                    .areNotDeclaredIn(type("loadbalancer.policy.EndpointComponents"))
                    .and()
                    .areNotDeclaredIn(type("loadbalancer.policy.RequestComponents"))
                    .should()
                    .bePrivate();

    @ArchTest
    static final ArchRule THE_WIRING_IS_FINAL =
            fields().that()
                    .areDeclaredIn(type("loadbalancer.policy.EndpointComponents"))
                    .or()
                    .areDeclaredIn(type("loadbalancer.policy.RequestComponents"))
                    .should()
                    .beFinal();

    private static final String DERIVED_SETTINGS = type("loadbalancer.policy.DerivedSettings");
    private static final String SETTINGS = type("loadbalancer.LoadBalancerSettings");

    /** The wiring hands new settings to all rules at once. */
    @ArchTest
    static final ArchRule ONLY_THE_WIRING_UPDATES_THE_SETTINGS =
            noClasses()
                    .that()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.policy.EndpointComponents"))
                    .should()
                    .callMethod(DERIVED_SETTINGS, "update", SETTINGS);

    /** So that the rule above still names the method that updates them. */
    @ArchTest
    static final ArchRule THE_WIRING_UPDATES_THE_SETTINGS =
            classes()
                    .that()
                    .haveFullyQualifiedName(type("loadbalancer.policy.EndpointComponents"))
                    .should()
                    .callMethod(DERIVED_SETTINGS, "update", SETTINGS);

    @ArchTest
    static final ArchRule SETTINGS_KNOW_THE_DECISIONS_AND_LOGGING =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            packages("loadbalancer.settings..", "loadbalancer.logging.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.node..",
                                    "loadbalancer.adapter..",
                                    "loadbalancer.admin..",
                                    "loadbalancer.transport..",
                                    "loadbalancer.proxy..",
                                    "loadbalancer.http1..",
                                    "loadbalancer.cli..",
                                    "loadbalancer.lab..",
                                    "loadbalancer.faults..",
                                    "io.netty.."));

    @ArchTest
    static final ArchRule THE_EXCHANGE_SPEAKS_NO_PROTOCOL =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.proxy.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.http1..",
                                    "loadbalancer.node..",
                                    "loadbalancer.admin..",
                                    "io.netty.handler..",
                                    "io.netty.bootstrap..",
                                    "io.netty.channel.socket.."));

    @ArchTest
    static final ArchRule STATE_KNOWS_THE_DECISIONS_ONLY =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.snapshot.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.http1..",
                                    "loadbalancer.node..",
                                    "loadbalancer.admin..",
                                    "loadbalancer.proxy..",
                                    "loadbalancer.transport..",
                                    "loadbalancer.settings..",
                                    "io.netty.."));

    @ArchTest
    static final ArchRule FLEET_MEMBERSHIP_AND_REPLICATION_KNOW_NO_WIRE_FORMAT =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.fleet.replication..",
                                    "loadbalancer.fleet.membership.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.fleet",
                                    "loadbalancer.fleet.codec..",
                                    "loadbalancer.fleet.transport..",
                                    "com.fasterxml.."));

    @ArchTest
    static final ArchRule ONLY_THE_TRANSPORT_OF_THE_FLEET_KNOWS_SOCKETS =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.fleet.."))
                    .and()
                    .resideOutsideOfPackages(packages("loadbalancer.fleet.transport.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "io.netty..",
                                    "java.net..",
                                    "loadbalancer.fleet.transport..",
                                    "loadbalancer.transport..",
                                    "loadbalancer.node..",
                                    "loadbalancer.settings..",
                                    "loadbalancer.proxy..",
                                    "loadbalancer.http1.."));

    @ArchTest
    static final ArchRule CONTROL_LOGIC_KNOWS_NO_SOCKETS_AND_NO_OTHER_SUBSYSTEM =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.control.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "io.netty..",
                                    "java.net..",
                                    "loadbalancer.transport..",
                                    "loadbalancer.node..",
                                    "loadbalancer.admin..",
                                    "loadbalancer.proxy..",
                                    "loadbalancer.http1..",
                                    "loadbalancer.settings..",
                                    "loadbalancer.fleet..",
                                    "loadbalancer.policy..",
                                    "loadbalancer.rollout..",
                                    "loadbalancer.schedule..",
                                    "loadbalancer.cli..",
                                    "loadbalancer.lab..",
                                    "loadbalancer.faults.."));

    @ArchTest
    static final ArchRule THE_CONTROL_MODEL_KNOWS_NOTHING =
            classes()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.control.model.."))
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.control.model..",
                                    "java.lang..",
                                    "java.util..",
                                    "java.io..",
                                    "com.fasterxml..",
                                    "com.dynatrace.."));

    @ArchTest
    static final ArchRule PUBLISHER_SUBSCRIBER_AND_STORE_KNOW_NOT_EACH_OTHER =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.control.publish.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.control.store..",
                                    "loadbalancer.control.subscribe.."));

    @ArchTest
    static final ArchRule THE_SUBSCRIBER_KNOWS_ONLY_THE_MODEL =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.control.subscribe.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.control.store..",
                                    "loadbalancer.control.publish.."));

    @ArchTest
    static final ArchRule FRONTS_KNOW_NO_BACKS =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.http1.downstream.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.http1.upstream..",
                                    "loadbalancer.node..",
                                    "loadbalancer.admin.."));

    @ArchTest
    static final ArchRule BACKS_KNOW_NO_FRONTS =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.http1.upstream.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.http1.downstream..",
                                    "loadbalancer.node..",
                                    "loadbalancer.admin.."));

    @ArchTest
    static final ArchRule ONLY_FRONTS_AND_BACKS_AND_CALLS_TO_DISCOVERY_SPEAK_HTTP =
            noClasses()
                    .that()
                    .resideOutsideOfPackages(packages("loadbalancer.http1.."))
                    .and()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.node.DiscoveryCall"))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(packages("io.netty.handler.codec.http.."));

    @ArchTest
    static final ArchRule THE_ADAPTER_KNOWS_NO_SOCKETS =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.adapter.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.node..",
                                    "loadbalancer.admin..",
                                    "loadbalancer.transport..",
                                    "loadbalancer.lab..",
                                    "loadbalancer.faults..",
                                    "loadbalancer.cli..",
                                    "io.netty.."));

    @ArchTest
    static final ArchRule SERVICE_KNOWS_NO_TOOLS =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.node..",
                                    "loadbalancer.admin..",
                                    "loadbalancer.transport..",
                                    "loadbalancer.proxy..",
                                    "loadbalancer.http1.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(TOOLS);

    @ArchTest
    static final ArchRule ONLY_MAIN_STARTS_THE_ADAPTER =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.node.."))
                    .and()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.node.Main"))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(packages("loadbalancer.adapter.."));

    @ArchTest
    static final ArchRule THE_LABORATORY_KNOWS_NO_NETWORK =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.lab.."))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.node..",
                                    "loadbalancer.adapter..",
                                    "loadbalancer.admin..",
                                    "loadbalancer.transport..",
                                    "loadbalancer.faults..",
                                    "io.netty..",
                                    "picocli.."));

    @ArchTest
    static final ArchRule THE_CHECKERS_SHARE_NOTHING_WITH_THE_MODULE =
            noClasses()
                    .that()
                    .haveFullyQualifiedName(type("loadbalancer.lab.sim.RuleOracle"))
                    .or()
                    .haveFullyQualifiedName(type("loadbalancer.faults.Oracle"))
                    .should()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName(type("loadbalancer.ReweightingLoadBalancer"));

    @ArchTest
    static final ArchRule THE_RIGS_CHECKS_AND_PEERS_SHARE_NOTHING_WITH_THE_PROGRAM =
            classes()
                    .that()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.faults.process.check..",
                                    "loadbalancer.faults.process.peer.."))
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.faults.process.check..",
                                    "loadbalancer.faults.process.peer..",
                                    "java.."));

    @ArchTest
    static final ArchRule THE_ORACLE_OF_DISTRIBUTION_SHARES_NOTHING_WITH_THE_PROGRAM =
            classes()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.faults.control.oracle.."))
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(packages("loadbalancer.faults.control.oracle..", "java.."));

    /** The exceptions measure themselves in real time, and say so. */
    @ArchTest
    static final ArchRule TIME_IS_HANDED_IN =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer",
                                    "loadbalancer.policy..",
                                    "loadbalancer.node..",
                                    "loadbalancer.admin..",
                                    "loadbalancer.proxy..",
                                    "loadbalancer.http1..",
                                    "loadbalancer.adapter..",
                                    "loadbalancer.fleet..",
                                    "loadbalancer.lab.sim..",
                                    "loadbalancer.control..",
                                    "loadbalancer.faults.."))
                    .and()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.node.Warmup"))
                    .and()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.lab.sim.Simulation"))
                    .and()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.faults.process.peer.RealTime"))
                    .and()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.lab.sim.Gateway"))
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis");

    @ArchTest
    static final ArchRule SOCKETS_ARE_HANDED_IN =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            packages(
                                    "loadbalancer.node..",
                                    "loadbalancer.admin..",
                                    "loadbalancer.proxy..",
                                    "loadbalancer.http1.."))
                    .should()
                    .dependOnClassesThat()
                    .areAssignableTo(NioSocketChannel.class);
}
