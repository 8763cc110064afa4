package loadbalancer;

import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.assignableTo;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.name;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static loadbalancer.ArchitectureNames.packages;
import static loadbalancer.ArchitectureNames.type;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.ChannelOutboundInvoker;
import loadbalancer.transport.ListenerOpening;

/** Each of sending, closing and beginning to listen goes through its one place. */
@AnalyzeClasses(packages = "loadbalancer", importOptions = ImportOption.DoNotIncludeTests.class)
class GuardsTest {
    private static final String[] SERVICE =
            packages(
                    "loadbalancer.node..",
                    "loadbalancer.admin..",
                    "loadbalancer.proxy..",
                    "loadbalancer.http1..",
                    "loadbalancer.transport..");

    /**
     * The first byte of an attempt among all others: asked right before, by {@code Back.Listener}.
     */
    @ArchTest
    static final ArchRule ONLY_AN_EXCHANGE_WRITES_TO_AN_UPSTREAM =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.http1.upstream.."))
                    .and()
                    .doNotHaveFullyQualifiedName(
                            type("loadbalancer.http1.upstream.RequestExchange"))
                    .should()
                    .callMethodWhere(
                            target(nameMatching("write.*"))
                                    .and(
                                            target(
                                                    owner(
                                                            assignableTo(
                                                                    ChannelOutboundInvoker
                                                                            .class)))));

    /** The audit passes a close on; the intake cuts off who sends on and on after the end. */
    @ArchTest
    static final ArchRule ONLY_A_SESSION_CLOSES_ON_ITS_CLIENT =
            noClasses()
                    .that()
                    .resideInAnyPackage(packages("loadbalancer.http1.downstream.."))
                    .and()
                    .doNotHaveFullyQualifiedName(
                            type("loadbalancer.http1.downstream.ClientConnection"))
                    .and()
                    .doNotHaveFullyQualifiedName(
                            type("loadbalancer.http1.downstream.InboundByteMonitor"))
                    .and()
                    .doNotHaveFullyQualifiedName(
                            type("loadbalancer.http1.downstream.ResponseAudit"))
                    .and()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.http1.downstream.ClientServer"))
                    .should()
                    .callMethodWhere(
                            target(name("close"))
                                    .and(
                                            target(
                                                    owner(
                                                            assignableTo(
                                                                    ChannelOutboundInvoker
                                                                            .class)))));

    @ArchTest
    static final ArchRule ONLY_THESE_BEGIN_TO_LISTEN =
            noClasses()
                    .that()
                    .resideInAnyPackage(SERVICE)
                    .and()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.http1.downstream.ClientServer"))
                    .and()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.http1.control.ControlServer"))
                    .and()
                    .doNotHaveFullyQualifiedName(type("loadbalancer.admin.AdminServer"))
                    .should()
                    .callMethodWhere(
                            target(name("bind"))
                                    .and(target(owner(assignableTo(AbstractBootstrap.class)))));

    @ArchTest
    static final ArchRule WHO_LISTENS_GETS_OVER_A_SOCKET_THAT_FAILS =
            classes()
                    .that()
                    .haveFullyQualifiedName(type("loadbalancer.http1.downstream.ClientServer"))
                    .or()
                    .haveFullyQualifiedName(type("loadbalancer.http1.control.ControlServer"))
                    .or()
                    .haveFullyQualifiedName(type("loadbalancer.admin.AdminServer"))
                    .should()
                    .dependOnClassesThat()
                    .areAssignableTo(ListenerOpening.class);
}
