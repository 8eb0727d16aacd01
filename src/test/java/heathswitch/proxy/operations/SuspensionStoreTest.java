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

/** A suspension whose file is temporarily unreadable stays in force. */
class SuspensionStoreTest {
  private static final long NOW = 1_000_000;

  @TempDir Path folder;

  /** Replaces each file with a symbolic link to itself, which exists but cannot be read. */
  private void makeUnreadable() throws IOException {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "u-*")) {
      for (Path file : files) {
        Files.delete(file);
        Files.createSymbolicLink(file, file);
      }
    }
  }

  @Test
  void keepsUpstreamSuspendedWhileItsFileIsUnreadable() throws IOException {
    SuspensionStore store = new SuspensionStore(folder);
    store.suspend("s/1", NOW);
    Suspension before = store.read(NOW).get("s/1");
    makeUnreadable();
    assertEquals(before, store.read(NOW + 1000).get("s/1"));
  }

  /** The name of the file alone is enough to treat its upstream as suspended. */
  @Test
  void suspendsUpstreamOfUnreadableFileNeverReadBefore() throws IOException {
    new SuspensionStore(folder).suspend("s/1", NOW);
    makeUnreadable();
    Map<String, Suspension> seen = new SuspensionStore(folder).read(NOW + 1000);
    assertTrue(seen.get("s/1").isSuspended());
  }

  @Test
  void dropsSuspensionWhoseFileWasDeleted() throws IOException {
    SuspensionStore store = new SuspensionStore(folder);
    store.suspend("s/1", NOW);
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "u-*")) {
      for (Path file : files) {
        Files.delete(file);
      }
    }
    assertFalse(store.read(NOW + 1000).containsKey("s/1"));
  }
}
