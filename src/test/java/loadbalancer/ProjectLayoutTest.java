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
  private static final int MAX_POLICY_FILE_LINES = 1_200;
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

  private static String value(String deploy, String key) {
    Matcher line = Pattern.compile("(?m)^" + key + " = (.*)$").matcher(deploy);
    assertTrue(line.find(), key + " is missing");
    return line.group(1);
  }
}
