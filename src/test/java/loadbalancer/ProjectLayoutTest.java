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

/** What the project promises about its own files. */
class ProjectLayoutTest {

  private static final Path POLICY = Path.of("src/main/java/loadbalancer/policy");
  private static final int MAX_POLICY_FILE_LINES = 400;
  private static final int MAX_LINE_LENGTH = 110;

  @Test
  void everyPolicyFileStaysWithinItsLimits() throws IOException {
    for (Path file : policyFiles()) {
      List<String> lines = Files.readAllLines(file);
      long count = lines.stream().filter(line -> !line.isBlank()).count();
      assertTrue(count <= MAX_POLICY_FILE_LINES, file + " has " + count + " lines");
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
  void theDeployFileNamesWhatTheBuildMakesAndThePolicy() throws IOException {
    String deploy = Files.readString(Path.of("deploy/balancer.toml"));
    String listed =
        policyFiles().stream()
            .map(file -> "\"" + file.toString().replace('\\', '/') + "\"")
            .collect(Collectors.joining(", ", "[", "]"));
    assertEquals(listed, value(deploy, "policy"));
    Matcher jar = Pattern.compile("-jar target/(\\S+)\\.jar wire").matcher(value(deploy, "sim"));
    assertTrue(jar.find(), "sim starts no jar");
    String pom = Files.readString(Path.of("pom.xml"));
    assertTrue(pom.contains("<finalName>" + jar.group(1) + "</finalName>"));
    assertTrue(value(deploy, "build").contains("mvn "));
  }

  /** A renamed archive would leave every start slower, with nothing but a line in the log. */
  @Test
  void theRunCommandUsesTheJarAndTheClassArchiveThatTheBuildWrites() throws IOException {
    String run = value(Files.readString(Path.of("deploy/balancer.toml")), "run");
    String pom = Files.readString(Path.of("pom.xml"));
    Matcher archive = Pattern.compile("-XX:SharedArchiveFile=(\\S+)").matcher(run);
    assertTrue(archive.find(), "run uses no class archive");
    assertTrue(
        pom.contains("<arg line=\"" + archive.group(1) + " ${java.home}/bin/java\"/>"),
        archive.group(1) + " is not written by the build");
    Matcher command = Pattern.compile("-jar (\\S+) serve").matcher(run);
    assertTrue(command.find(), "run starts no jar");
    assertTrue(
        pom.contains("<arg line=\"-jar " + command.group(1) + " serve\"/>"),
        "the archive is recorded from another jar than " + command.group(1));
  }

  @Test
  void everyPackageOfTheProgramIsDocumented() throws IOException {
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

  /** A class that is renamed or moved must not leave the map of the code behind. */
  @Test
  void everyClassThatTheArchitecturePageNamesExists() throws IOException {
    String page = Files.readString(Path.of("docs/ARCHITECTURE.md"));
    List<String> sources;
    try (Stream<Path> files = Files.walk(Path.of("src"))) {
      sources = files.map(file -> file.getFileName().toString()).toList();
    }
    Matcher named =
        Pattern.compile("`([A-Z][A-Za-z]+[a-z][A-Za-z]*)(?:\\.(\\w+))?(?:\\(\\))?`").matcher(page);
    int count = 0;
    while (named.find()) {
      assertTrue(sources.contains(named.group(1) + ".java"), named.group());
      count++;
    }
    assertTrue(count > 20, count + " classes named");
  }

  private static String value(String deploy, String key) {
    Matcher line = Pattern.compile("(?m)^" + key + " = (.*)$").matcher(deploy);
    assertTrue(line.find(), key + " is missing");
    return line.group(1);
  }
}
