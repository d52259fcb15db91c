package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the project's own files: policy sources are within size limits, deploy/balancer.toml names
 * all policy sources and the jar and class archive that pom.xml builds, each main package has a
 * package-info, and the classes that docs/ARCHITECTURE.md names exist.
 */
class ProjectLayoutTest {

  private static final Path POLICY = Path.of("src/main/java/loadbalancer/policy");
  private static final int MAX_POLICY_FILE_LINES = 400;
  private static final int MAX_LINE_LENGTH = 110;

  @Test
  void policyFilesAreWithinSizeLimits() throws IOException {
    for (Path file : policyFiles()) {
      List<String> lines = Files.readAllLines(file);
      long lineCount = lines.stream().filter(line -> !line.isBlank()).count();
      assertTrue(
          lineCount <= MAX_POLICY_FILE_LINES,
          file + " has " + lineCount + " non-blank lines, limit " + MAX_POLICY_FILE_LINES);
      assertTrue(
          lines.stream().allMatch(line -> line.length() <= MAX_LINE_LENGTH),
          file + " has a line over " + MAX_LINE_LENGTH + " characters");
    }
  }

  private static List<Path> policyFiles() throws IOException {
    try (Stream<Path> files = Files.list(POLICY)) {
      return files.filter(file -> file.toString().matches(".*/[A-Z]\\w*\\.java")).sorted().toList();
    }
  }

  @Test
  void deployFileNamesTheJarThatTheBuildWritesAndAllPolicyFiles() throws IOException {
    String deploy = Files.readString(Path.of("deploy/balancer.toml"));
    String policyFileList =
        policyFiles().stream()
            .map(file -> "\"" + file.toString().replace('\\', '/') + "\"")
            .collect(Collectors.joining(", ", "[", "]"));
    assertEquals(policyFileList, value(deploy, "policy"));
    Matcher jar = Pattern.compile("-jar target/(\\S+)\\.jar wire").matcher(value(deploy, "sim"));
    assertTrue(
        jar.find(),
        "the command sim in deploy/balancer.toml must contain '-jar target/NAME.jar wire', but is: "
            + value(deploy, "sim"));
    String pom = Files.readString(Path.of("pom.xml"));
    assertTrue(pom.contains("<finalName>" + jar.group(1) + "</finalName>"));
    assertTrue(value(deploy, "build").contains("mvn "));
  }

  /**
   * If the archive that the command names did not exist, every start would be slower and nothing
   * would report it: with -Xshare:auto, JDK 17 prints nothing about a missing archive file.
   */
  @Test
  void runCommandUsesTheJarAndTheClassArchiveThatTheBuildWrites() throws IOException {
    String run = value(Files.readString(Path.of("deploy/balancer.toml")), "run");
    String pom = Files.readString(Path.of("pom.xml"));
    Matcher archive = Pattern.compile("-XX:SharedArchiveFile=(\\S+)").matcher(run);
    assertTrue(
        archive.find(),
        "the command run in deploy/balancer.toml must contain '-XX:SharedArchiveFile=FILE',"
            + " but is: "
            + run);
    assertTrue(
        pom.contains("<arg line=\"" + archive.group(1) + " ${java.home}/bin/java\"/>"),
        archive.group(1) + " is not written by pom.xml");
    Matcher command = Pattern.compile("-jar (\\S+) serve").matcher(run);
    assertTrue(
        command.find(),
        "the command run in deploy/balancer.toml must contain '-jar FILE serve', but is: " + run);
    assertTrue(
        pom.contains("<arg line=\"-jar " + command.group(1) + " serve\"/>"),
        "pom.xml records the class archive from another jar than " + command.group(1));
  }

  @Test
  void everyMainPackageHasPackageInfo() throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("src/main/java/loadbalancer"))) {
      List<Path> undocumented =
          files
              .filter(Files::isDirectory)
              .filter(folder -> !folder.equals(Path.of("src/main/java/loadbalancer")))
              .filter(folder -> !Files.exists(folder.resolve("package-info.java")))
              .toList();
      assertEquals(List.of(), undocumented);
    }
  }

  /** Fails if the architecture page names a class that has been renamed or removed. */
  @Test
  void classesNamedInTheArchitecturePageExist() throws IOException {
    String architecturePage = Files.readString(Path.of("docs/ARCHITECTURE.md"));
    List<String> sources;
    try (Stream<Path> files = Files.walk(Path.of("src"))) {
      sources = files.map(file -> file.getFileName().toString()).toList();
    }
    Matcher named =
        Pattern.compile("`([A-Z][A-Za-z]+[a-z][A-Za-z]*)(?:\\.(\\w+))?(?:\\(\\))?`")
            .matcher(architecturePage);
    int namedCount = 0;
    while (named.find()) {
      assertTrue(
          sources.contains(named.group(1) + ".java"),
          "docs/ARCHITECTURE.md names " + named.group() + ", which has no source file under src");
      namedCount++;
    }
    assertTrue(namedCount > 20, namedCount + " classes are named, more than 20 are expected");
  }

  private static String value(String deploy, String key) {
    Matcher line = Pattern.compile("(?m)^" + key + " = (.*)$").matcher(deploy);
    assertTrue(line.find(), key + " is missing in deploy/balancer.toml");
    return line.group(1);
  }
}
