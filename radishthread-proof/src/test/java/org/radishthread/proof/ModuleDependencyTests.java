package org.radishthread.proof;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures;

/**
 * Checks that modules depend only on lower modules, and that the modules that have to be
 * deterministic use no threads, clocks, network or randomness.
 */
@AnalyzeClasses(packages = "org.radishthread", importOptions = ImportOption.DoNotIncludeTests.class)
class ModuleDependencyTests {

	private static final String PACKAGE_PREFIX = "org.radishthread.";

	@ArchTest
	void modulesDependOnlyOnLowerModules(JavaClasses classes) {
		Architectures.layeredArchitecture()
			.consideringOnlyDependenciesInLayers()
			.layer("kernel")
			.definedBy(PACKAGE_PREFIX + "kernel..")
			.layer("protocol")
			.definedBy(PACKAGE_PREFIX + "protocol..")
			.layer("rules")
			.definedBy(PACKAGE_PREFIX + "rules..")
			.layer("agreement")
			.definedBy(PACKAGE_PREFIX + "agreement..")
			.layer("membership")
			.definedBy(PACKAGE_PREFIX + "membership..")
			.layer("routing")
			.definedBy(PACKAGE_PREFIX + "routing..")
			.layer("daemon")
			.definedBy(PACKAGE_PREFIX + "daemon..")
			.layer("client")
			.definedBy(PACKAGE_PREFIX + "client..")
			.layer("platform")
			.definedBy(PACKAGE_PREFIX + "platform..")
			.whereLayer("platform")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("daemon")
			.mayOnlyBeAccessedByLayers("platform")
			.whereLayer("client")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("routing")
			.mayOnlyBeAccessedByLayers("daemon", "platform")
			.whereLayer("membership")
			.mayOnlyBeAccessedByLayers("daemon", "platform")
			.whereLayer("agreement")
			.mayOnlyBeAccessedByLayers("daemon")
			.whereLayer("rules")
			.mayOnlyBeAccessedByLayers("routing", "daemon", "client", "platform")
			.check(classes);
	}

	// Agreement, membership and routing get the time and random numbers from the daemon,
	// which also sends their messages, so that a test can repeat a run exactly.
	@ArchTest
	void deterministicModulesUseNoThreadsClocksNetworkOrRandomness(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage(PACKAGE_PREFIX + "membership..", PACKAGE_PREFIX + "routing..",
					PACKAGE_PREFIX + "agreement..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.util.concurrent..", "java.net..", "io.netty..", "org.eclipse.jetty..")
			.orShould()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.util.Random")
			.orShould()
			.dependOnClassesThat()
			.haveFullyQualifiedName("java.lang.Thread")
			.orShould()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.check(classes);
	}

	// The platform adapter only translates requests and responses: it has no retries,
	// waiting times or state.
	@ArchTest
	void platformAdapterUsesNoThreadsTimersOrSchedulers(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage(PACKAGE_PREFIX + "platform..")
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.util.concurrent.atomic..", "java.util.concurrent.locks..", "io.netty..")
			.orShould()
			.dependOnClassesThat()
			.haveNameMatching("java\\.util\\.concurrent\\.(Executor.*|Scheduled.*|ConcurrentHashMap|TimeUnit)")
			.orShould()
			.dependOnClassesThat()
			.haveNameMatching("java\\.lang\\.Thread|java\\.util\\.(Random|Timer)")
			.orShould()
			.dependOnClassesThat()
			.haveNameMatching(PACKAGE_PREFIX.replace(".", "\\.") + "kernel\\.(EventLoop|TimeSource)")
			.check(classes);
	}

}
