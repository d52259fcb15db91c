package loadbalancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Which package may know which; docs/ARCHITECTURE.md explains the layers. */
@AnalyzeClasses(packages = "loadbalancer", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

  @ArchTest
  static final ArchRule MODEL_KNOWS_NOTHING_ELSE =
      classes()
          .that()
          .resideInAPackage("loadbalancer.model")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage("loadbalancer.model", "java.lang..", "java.util..");

  @ArchTest
  static final ArchRule POLICY_HAS_NO_CLOCK_THREAD_OR_SOCKET =
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

  @ArchTest
  static final ArchRule POLICY_READS_NO_CLOCK =
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
  static final ArchRule SETTINGS_KNOW_THE_MODEL_ONLY =
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
  static final ArchRule SIMULATION_DOES_NOT_KNOW_THE_PROXY =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.simulation..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("loadbalancer.proxy..", "loadbalancer.benchmark..", "io.netty..");

  @ArchTest
  static final ArchRule NOTHING_THAT_SERVES_KNOWS_THE_BENCHMARK =
      noClasses()
          .that()
          .resideOutsideOfPackage("loadbalancer.benchmark..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("loadbalancer.benchmark..", "picocli..", "org.HdrHistogram..");

  @ArchTest
  static final ArchRule ONLY_THE_PROCESS_ITSELF_KNOWS_THE_POLICY =
      noClasses()
          .that()
          .resideInAnyPackage("loadbalancer.proxy.*..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "loadbalancer.policy..", "loadbalancer.proxy", "loadbalancer.simulation..");

  @ArchTest
  static final ArchRule FRONTEND_AND_UPSTREAM_DO_NOT_KNOW_EACH_OTHER =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.proxy.frontend")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("loadbalancer.proxy.upstream", "loadbalancer.proxy.discovery");

  @ArchTest
  static final ArchRule UPSTREAM_DOES_NOT_KNOW_THE_FRONTEND =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.proxy.upstream")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("loadbalancer.proxy.frontend", "loadbalancer.proxy.config");

  @ArchTest
  static final ArchRule DISCOVERY_DOES_NOT_KNOW_THE_CONFIGURATION_FILE =
      noClasses()
          .that()
          .resideInAPackage("loadbalancer.proxy.discovery")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("loadbalancer.proxy.config", "loadbalancer.settings");

  @ArchTest
  static final ArchRule EVENT_LOOP_PARTS_KNOW_NOTHING_ELSE =
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
}
