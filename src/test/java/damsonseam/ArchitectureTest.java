package damsonseam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Guards the direction of dependencies between packages, and that decision code does no I/O and reads no clock. */
@AnalyzeClasses(packages = "damsonseam", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String[] PACKAGES_ABOVE_CORE = {
        "damsonseam.dns..",
        "damsonseam.ss7..",
        "damsonseam.sip..",
        "damsonseam.config..",
        "damsonseam.settings..",
        "damsonseam.loop..",
        "damsonseam.node..",
        "damsonseam.front..",
        "damsonseam.standin..",
        "damsonseam.audit..",
        "damsonseam.day..",
        "damsonseam.cli..",
        "damsonseam.adapter..",
        "damsonseam.directory..",
        "damsonseam.load..",
        "damsonseam.bench.."
    };

    @ArchTest
    static final ArchRule POLICY_DEPENDS_ON_JDK_ONLY = classes()
            .that()
            .resideInAPackage("damsonseam")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("damsonseam", "java.lang..", "java.util..");

    @ArchTest
    static final ArchRule CORE_DOES_NOT_DEPEND_ON_UPPER_LAYERS = noClasses()
            .that()
            .resideInAPackage("damsonseam.core..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(PACKAGES_ABOVE_CORE);

    @ArchTest
    static final ArchRule OVERLOAD_DOES_NOT_DEPEND_ON_OTHER_PACKAGES = noClasses()
            .that()
            .resideInAPackage("damsonseam.overload..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(PACKAGES_ABOVE_CORE)
            .orShould()
            .dependOnClassesThat()
            .resideInAnyPackage("damsonseam", "damsonseam.core..");

    @ArchTest
    static final ArchRule PROTOCOLS_DO_NOT_DEPEND_ON_FRONTS = noClasses()
            .that()
            .resideInAnyPackage("damsonseam.dns..", "damsonseam.ss7..", "damsonseam.sip..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "damsonseam.front..",
                    "damsonseam.node..",
                    "damsonseam.standin..",
                    "damsonseam.audit..",
                    "damsonseam.day..",
                    "damsonseam.cli..",
                    "damsonseam.config..",
                    "damsonseam.settings..");

    /** The SIP package encodes and decodes messages on Netty buffers; it opens no channels and knows no call logic. */
    @ArchTest
    static final ArchRule SIP_DEPENDS_ON_NETTY_BUFFERS_ONLY = classes()
            .that()
            .resideInAPackage("damsonseam.sip..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "damsonseam.sip..",
                    "io.netty.buffer..",
                    "io.netty.channel",
                    "io.netty.handler.codec..",
                    "java.lang..",
                    "java.util..",
                    "java.nio.charset..");

    @ArchTest
    static final ArchRule NODE_DOES_NOT_DEPEND_ON_ENUM_FRONT = noClasses()
            .that()
            .resideInAnyPackage("damsonseam.node..", "damsonseam.settings..", "damsonseam.loop..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "damsonseam.front..",
                    "damsonseam.standin..",
                    "damsonseam.audit..",
                    "damsonseam.day..",
                    "damsonseam.cli..",
                    "damsonseam.dns..",
                    "damsonseam.ss7..");

    @ArchTest
    static final ArchRule FRONT_DOES_NOT_DEPEND_ON_STAND_INS = noClasses()
            .that()
            .resideInAPackage("damsonseam.front..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("damsonseam.standin..", "damsonseam.audit..", "damsonseam.day..", "damsonseam.cli..");

    @ArchTest
    static final ArchRule NOTHING_DEPENDS_ON_COMMAND_LINE = noClasses()
            .that()
            .resideOutsideOfPackage("damsonseam.cli..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("damsonseam.cli..");

    @ArchTest
    static final ArchRule DECISION_CODE_DOES_NO_IO = noClasses()
            .that()
            .resideInAnyPackage(
                    "damsonseam", "damsonseam.core..", "damsonseam.dns..", "damsonseam.ss7..", "damsonseam.overload..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "io.netty..",
                    "io.grpc..",
                    "java.net..",
                    "java.nio.channels..",
                    "java.nio.file..",
                    "java.util.concurrent.locks..");

    @ArchTest
    static final ArchRule DECISION_CODE_READS_NO_CLOCK = noClasses()
            .that()
            .resideInAnyPackage(
                    "damsonseam", "damsonseam.core..", "damsonseam.dns..", "damsonseam.ss7..", "damsonseam.overload..")
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(Math.class, "random")
            .orShould()
            .accessClassesThat()
            .areAssignableTo(Thread.class);

    @ArchTest
    static final ArchRule ADAPTER_DEPENDS_ON_JDK_ONLY = classes()
            .that()
            .resideInAPackage("damsonseam.adapter..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("damsonseam", "damsonseam.adapter..", "damsonseam.settings..", "java..");

    @ArchTest
    static final ArchRule SETTINGS_DEPEND_ON_JDK_ONLY = classes()
            .that()
            .resideInAPackage("damsonseam.settings..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("damsonseam", "damsonseam.settings..", "java..");
}
