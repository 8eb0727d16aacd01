package heathswitch.testbed.balancer;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Helper for the temporary folders of test bed processes. */
public final class Folders {
  private Folders() {}

  /** Deletes a folder and its contents, which a process may be deleting at the same time. */
  public static void deleteRecursively(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
  }
}
