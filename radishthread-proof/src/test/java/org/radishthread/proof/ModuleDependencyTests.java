package org.radishthread.proof;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.Architectures;

/**
 * Holds the modules to their order and the decisions to their purity.
 */
@AnalyzeClasses(packages = "org.radishthread", importOptions = ImportOption.DoNotIncludeTests.class)
class ModuleDependencyTests {

	private static final String BASE = "org.radishthread.";

	@ArchTest
	void modulesNeverPointUpward(JavaClasses classes) {
		Architectures.layeredArchitecture()
			.consideringOnlyDependenciesInLayers()
			.layer("kernel")
			.definedBy(BASE + "kernel..")
			.layer("protocol")
			.definedBy(BASE + "protocol..")
			.layer("rules")
			.definedBy(BASE + "rules..")
			.layer("agreement")
			.definedBy(BASE + "agreement..")
			.layer("membership")
			.definedBy(BASE + "membership..")
			.layer("routing")
			.definedBy(BASE + "routing..")
			.layer("daemon")
			.definedBy(BASE + "daemon..")
			.layer("client")
			.definedBy(BASE + "client..")
			.whereLayer("daemon")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("client")
			.mayNotBeAccessedByAnyLayer()
			.whereLayer("routing")
			.mayOnlyBeAccessedByLayers("daemon")
			.whereLayer("membership")
			.mayOnlyBeAccessedByLayers("daemon")
			.whereLayer("agreement")
			.mayOnlyBeAccessedByLayers("daemon")
			.whereLayer("rules")
			.mayOnlyBeAccessedByLayers("routing", "daemon", "client")
			.check(classes);
	}

	@ArchTest
	void decisionsOwnNoThreadClockOrRandomness(JavaClasses classes) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAnyPackage(BASE + "membership..", BASE + "routing..", BASE + "agreement..")
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

}
