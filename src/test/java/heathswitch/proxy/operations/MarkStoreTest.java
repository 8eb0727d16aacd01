package heathswitch.proxy.operations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import heathswitch.policy.rotation.Suspension;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A mark whose file cannot be read for a moment stands as before. */
class MarkStoreTest {
  private static final long NOW = 1_000_000;

  @TempDir Path folder;

  /** A link to itself in the place of the file: it is there, and its reading fails. */
  private void makeUnreadable() throws IOException {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "u-*")) {
      for (Path file : files) {
        Files.delete(file);
        Files.createSymbolicLink(file, file);
      }
    }
  }

  @Test
  void anUpstreamThatIsOutStaysOutWhileItsMarkCannotBeRead() throws IOException {
    MarkStore marks = new MarkStore(folder);
    marks.suspend("s/1", NOW);
    Suspension before = marks.read(NOW).get("s/1");
    makeUnreadable();
    assertEquals(before, marks.read(NOW + 1000).get("s/1"));
  }

  /** By the name of the file alone an upstream that has a mark is taken for out. */
  @Test
  void aProcessThatHasNeverReadAMarkTakesItsUpstreamForOut() throws IOException {
    new MarkStore(folder).suspend("s/1", NOW);
    makeUnreadable();
    Map<String, Suspension> seen = new MarkStore(folder).read(NOW + 1000);
    assertTrue(seen.get("s/1").isSuspended());
  }

  @Test
  void aMarkThatWasTakenAwayIsGone() throws IOException {
    MarkStore marks = new MarkStore(folder);
    marks.suspend("s/1", NOW);
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "u-*")) {
      for (Path file : files) {
        Files.delete(file);
      }
    }
    assertFalse(marks.read(NOW + 1000).containsKey("s/1"));
  }
}
