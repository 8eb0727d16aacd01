package heathswitch.testbed.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the deployment file tells of the processes that it runs. */
final class Deployment {
  /** Nine tenths of the smallest limit of the deployments for a JVM, 128 MB. */
  static final int MAX_MEGABYTES = 115;

  private Deployment() {}

  /** The flags of the JVM, without the archive of classes that its build makes. */
  static List<String> jvmFlags() throws IOException {
    String deployment = Files.readString(Path.of("deploy/balancer.toml"));
    Matcher run = Pattern.compile("run = \".*exec java (.*) -jar ").matcher(deployment);
    assertTrue(run.find(), deployment);
    return Arrays.stream(run.group(1).split(" "))
        .filter(flag -> !flag.startsWith("-XX:SharedArchiveFile"))
        .toList();
  }
}
