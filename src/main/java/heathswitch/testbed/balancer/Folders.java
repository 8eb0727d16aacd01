package heathswitch.testbed.balancer;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Folders that the rig makes for its processes and takes away again. */
public final class Folders {
  private Folders() {}

  /** Deletes a folder and all that is in it, of which a process may be deleting files itself. */
  public static void delete(Path folder) throws IOException {
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
  }
}
