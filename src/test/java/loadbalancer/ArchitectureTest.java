package loadbalancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks which packages may depend on which others; docs/ARCHITECTURE.md explains the layers. */
@AnalyzeClasses(packages = "loadbalancer", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

  @ArchTest
  static final ArchRule MODEL_DEPENDS_ON_NO_OTHER_PACKAGE =
      classes()
          .that()
          .resideInAPackage("loadbalancer.model")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage("loadbalancer.model", "java.lang..", "java.util..");

  /**
   * Keeps clocks, thread pools and sockets out of the policy: it gets the time with each event and
   * leaves all input and output to its caller.
   */
  @ArchTest
  static final ArchRule POLICY_DEPENDS_ONLY_ON_MODEL_AND_BASIC_JDK_PACKAGES =
      classes()
          .that()
          .resideInAPackage("loadbalancer.policy")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage(
              "loadbalancer.policy",
              "loadbalancer.model",
              "java.lang",
              "java.util",
              "java.lang.invoke",
              "java.util.function",
              "java.util.stream");

  /** Covers the clocks and threads in java.lang, which the rule above allows. */
  @ArchTest
  static final ArchRule POLICY_READS_NO_CLOCK_AND_USES_NO_THREAD =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.policy")
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class);

  @ArchTest
  static final ArchRule SETTINGS_DEPEND_ONLY_ON_MODEL =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.settings")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "loadbalancer.policy..",
              "loadbalancer.proxy..",
              "loadbalancer.simulation..",
              "loadbalancer.benchmark..");

  @ArchTest
  static final ArchRule SIMULATION_DOES_NOT_DEPEND_ON_PROXY_OR_BENCHMARK =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.simulation..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("loadbalancer.proxy..", "loadbalancer.benchmark..", "io.netty..");

  /** Keeps the benchmark and its libraries out of the serving program. */
  @ArchTest
  static final ArchRule NO_OTHER_PACKAGE_DEPENDS_ON_BENCHMARK =
      noClasses()
          .that()
          .resideOutsideOfPackage("loadbalancer.benchmark..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("loadbalancer.benchmark..", "picocli..", "org.HdrHistogram..");

  /** Within the proxy, only the package loadbalancer.proxy itself may use the policy. */
  @ArchTest
  static final ArchRule PROXY_SUBPACKAGES_DO_NOT_DEPEND_ON_POLICY =
      noClasses()
          .that()
          .resideInAnyPackage("loadbalancer.proxy.*..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "loadbalancer.policy..", "loadbalancer.proxy", "loadbalancer.simulation..");

  @ArchTest
  static final ArchRule FRONTEND_DOES_NOT_DEPEND_ON_UPSTREAM_OR_DISCOVERY =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.proxy.frontend")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("loadbalancer.proxy.upstream", "loadbalancer.proxy.discovery");

  @ArchTest
  static final ArchRule UPSTREAM_DOES_NOT_DEPEND_ON_FRONTEND_OR_CONFIG =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.proxy.upstream")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("loadbalancer.proxy.frontend", "loadbalancer.proxy.config");

  @ArchTest
  static final ArchRule DISCOVERY_DOES_NOT_DEPEND_ON_CONFIG_OR_SETTINGS =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.proxy.discovery")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("loadbalancer.proxy.config", "loadbalancer.settings");

  @ArchTest
  static final ArchRule EVENT_LOOP_DOES_NOT_DEPEND_ON_POLICY_MODEL_OR_PROXY_PARTS =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.proxy.eventloop")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "loadbalancer.policy..",
              "loadbalancer.model..",
              "loadbalancer.proxy",
              "loadbalancer.proxy.frontend",
              "loadbalancer.proxy.upstream",
              "loadbalancer.proxy.discovery",
              "loadbalancer.proxy.config");

  @ArchTest
  static final ArchRule MEMORY_BUDGETS_DO_NOT_DEPEND_ON_OTHER_PARTS =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.proxy.memory")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "loadbalancer.policy..",
              "loadbalancer.model..",
              "loadbalancer.proxy",
              "loadbalancer.proxy.frontend",
              "loadbalancer.proxy.upstream",
              "loadbalancer.proxy.discovery",
              "loadbalancer.proxy.eventloop",
              "loadbalancer.proxy.config");
}
